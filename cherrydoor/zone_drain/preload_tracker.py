"""Tracks the copies that must be loaded outside a zone before a wave is announced.

A load order may be lost, the store may stop, or no host may be able to load the function. None of
these may delay other functions. A function that has no copy after MAX_ORDERS orders is therefore
postponed to an additional last wave. There it is ordered again until LAST_WAVE_TIMEOUT_MS; the
drain then pauses, and an operator decides whether its sessions move without a copy.

Pure; times are ms of the caller's clock.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from cherrydoor.zone_drain.wave_plan import Waves, WaveStep

ORDER_TIMEOUT_MS = 4000.0  # a copy that is not loaded by then is ordered again
MAX_ORDERS = 3  # load orders of a copy before its function is postponed to the last wave
LAST_WAVE_TIMEOUT_MS = 30000.0  # if copies of the last wave are missing by then, the drain pauses


class OverdueCopies(NamedTuple):
    """Functions with overdue copies: those to order again, and those to postpone."""

    order_again: list[str]
    postpone: list[str]


class PreloadTracker:
    """Owns the copies that waves wait for.

    Invariant: a function is pending only while no copy of it is loaded outside the zone.

    Attributes:
        pending: Function -> time of its last load order, ms.
        postponed: Function -> its step in the last wave.
    """

    def __init__(self, loaded: Iterable[str]):
        """Starts with the functions that already have a copy outside the zone."""
        self.pending: dict[str, float] = {}
        self.postponed: dict[str, WaveStep] = {}
        self._loaded = set(loaded)
        self._moving_without_copy: set[str] = set()
        self._orders: Counter[str] = Counter()
        self._began_at_ms = 0.0
        self._has_given_up = False

    def begin_wave(self, now_ms: float, wave: list[WaveStep]) -> list[str]:
        """Begins the preloads of a wave; returns the functions whose copies must be ordered."""
        wanted = [
            step.function
            for step in wave
            if step.needs_copy and step.function not in self._loaded | self._moving_without_copy
        ]
        self.pending = dict.fromkeys(wanted, now_ms)
        self._began_at_ms = now_ms
        self._orders.update(wanted)
        return wanted

    def copy_loaded(self, function: str) -> None:
        """Records that a copy of the function is loaded outside the zone."""
        self._loaded.add(function)
        self.pending.pop(function, None)

    def overdue(self, now_ms: float, is_last_wave: bool) -> OverdueCopies:
        """Finds overdue copies and counts their new orders; the last wave postpones none."""
        found = OverdueCopies([], [])
        late = [name for name, at_ms in self.pending.items() if now_ms - at_ms > ORDER_TIMEOUT_MS]
        for name in late:
            if self._orders[name] < MAX_ORDERS or is_last_wave:
                self.pending[name] = now_ms
                self._orders[name] += 1
                found.order_again.append(name)
            else:
                found.postpone.append(name)
        return found

    def postpone(self, name: str, waves: Waves) -> Waves:
        """Postpones a function; returns the waves with its steps merged into one in the last."""
        del self.pending[name]
        steps = [step for wave in waves for step in wave if step.function == name]
        remaining = [[step for step in wave if step.function != name] for wave in waves]
        if not self.postponed:
            remaining.append([])
        requests_per_s = sum(step.requests_per_s for step in steps)
        self.postponed[name] = WaveStep(name, steps[-1].share, True, requests_per_s)
        remaining[-1].append(self.postponed[name])
        return remaining

    def give_up_if_overdue(self, now_ms: float) -> str:
        """Gives up on missing copies once overdue; returns why the drain pauses, else ""."""
        if not self.pending or now_ms - self._began_at_ms < LAST_WAVE_TIMEOUT_MS:
            return ""
        self._has_given_up = True
        names = ", ".join(self.pending)
        seconds = LAST_WAVE_TIMEOUT_MS / 1000
        return f"no copy of {names} loaded after {seconds:g} s: resume continues without it"

    def resume(self) -> None:
        """Continues for an operator, without the copies that were given up, if any."""
        if self._has_given_up:
            self._moving_without_copy.update(self.pending)
        self._has_given_up = False
