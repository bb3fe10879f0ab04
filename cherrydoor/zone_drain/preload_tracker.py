"""Copies to be loaded outside a zone before a wave goes out: ordered, ordered again, postponed.

An order may be lost, a store may stop, and a function may be one that nothing loads. None of them
holds up the others: a function without a copy after some orders is postponed to a last wave; there
it is ordered for a while longer, and then an operator decides whether its sessions move without.
Pure; times are ms of the caller's clock.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from cherrydoor.zone_drain.wave_plan import Waves, WaveStep

ORDER_TIMEOUT_MS = 4000.0  # after which a copy that is not loaded is ordered again ...
MAX_ORDERS = 3  # ... so often; then its function is postponed to the last wave
LAST_WAVE_TIMEOUT_MS = 30000.0  # for which the last wave's copies are ordered; then it is paused


class OverdueCopies(NamedTuple):
    """Functions whose copies are overdue: to be ordered again, and to be postponed."""

    order_again: list[str]
    postpone: list[str]


class PreloadTracker:
    """Owns the copies that waves wait for.

    Invariant: a function is pending only while no copy of it is loaded outside the zone.

    Attributes:
        pending: Function -> when its copy was last ordered, ms.
        postponed: Function -> its step in the last wave.
    """

    def __init__(self, loaded: Iterable[str]):
        """Starts with the functions of which a copy is loaded outside the zone."""
        self.pending: dict[str, float] = {}
        self.postponed: dict[str, WaveStep] = {}
        self._loaded = set(loaded)
        self._moving_without_copy: set[str] = set()
        self._orders: Counter[str] = Counter()
        self._began_at_ms = 0.0
        self._has_given_up = False

    def begin_wave(self, now_ms: float, wave: list[WaveStep]) -> list[str]:
        """Functions of the wave whose copies are to be ordered now."""
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
        """A copy of the function is loaded outside the zone."""
        self._loaded.add(function)
        self.pending.pop(function, None)

    def overdue(self, now_ms: float, is_last_wave: bool) -> OverdueCopies:
        """What to do about overdue copies; in the last wave nothing can be postponed further."""
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
        """The waves that are left, with that function's steps as one in the last of them."""
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
        """Why the drain pauses before its last wave, for people; "" where it need not."""
        if not self.pending or now_ms - self._began_at_ms < LAST_WAVE_TIMEOUT_MS:
            return ""
        self._has_given_up = True
        names = ", ".join(self.pending)
        seconds = LAST_WAVE_TIMEOUT_MS / 1000
        return f"no copy of {names} stands after {seconds:g} s: resume goes on without"

    def resume(self) -> None:
        """An operator goes on: without the copies that were given up, if any."""
        if self._has_given_up:
            self._moving_without_copy.update(self.pending)
        self._has_given_up = False
