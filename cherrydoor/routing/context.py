"""What all parts of one router share: the time, the actions so far, queued steps and chance."""

from collections import deque
from collections.abc import Callable
from typing import Any
from zlib import crc32

from cherrydoor.routing import messages
from cherrydoor.routing.settings import RoutingSettings

Action = (
    messages.StartAttempt
    | messages.CancelAttempt
    | messages.RejectRequest
    | messages.FailRequest
    | messages.SetTimer
    | messages.CheckHealth
    | messages.CheckLease
    | messages.OrderLoad
    | messages.PollEndpoints
    | messages.LogMessage
)
Step = tuple[Callable[..., None], tuple[Any, ...]]  # a method and its arguments


class Context:
    """Shared by the parts of one router, which owns it.

    Invariant: between two messages no step is queued; ``now`` and ``actions`` belong to the message
    that is being handled.
    """

    __slots__ = ("_draw_count", "_seed", "actions", "now", "settings", "steps")

    def __init__(self, settings: messages.Settings) -> None:
        self.settings = RoutingSettings(settings)
        self.now = 0.0
        self.actions: list[Action] = []
        self.steps: deque[Step] = deque()
        self._seed = settings.seed
        self._draw_count = 0

    def begin_message(self, now: float) -> None:
        """Start to handle a message that came at this time."""
        self.now = now
        self.actions = []

    def queue(self, step: Callable[..., None], *arguments: Any) -> None:
        """Run a step after all that are queued already."""
        self.steps.append((step, arguments))

    def run_steps(self) -> None:
        """Run queued steps, first in first out, with those that they queue in turn."""
        steps = self.steps
        while steps:
            step, arguments = steps.popleft()
            step(*arguments)

    def next_random(self) -> float:
        """The next random number in [0, 1) of the seed."""
        self._draw_count += 1
        return crc32(f"{self._seed}/{self._draw_count}".encode()) / 2.0**32

    def set_timer(self, delay_ms: float, token: str) -> None:
        """Ask for a ``TimerFired`` after so many ms."""
        self.actions.append(messages.SetTimer(self.now + delay_ms, token))
