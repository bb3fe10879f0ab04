"""State that the components of one router share: time, actions, queued steps, random numbers."""

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
    """State shared by the components of one router, which owns it.

    Invariant: no step is queued between two messages.

    Attributes:
        settings: Settings of the routing decisions.
        now: Time of the message that is being handled, in ms.
        actions: Actions that this message has led to so far, in order.
        steps: Queued steps, oldest first.
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
        """Set the time of the next message, in ms, and start a new list of actions."""
        self.now = now
        self.actions = []

    def queue(self, step: Callable[..., None], *arguments: Any) -> None:
        """Queue a step behind all that are already queued."""
        self.steps.append((step, arguments))

    def run_steps(self) -> None:
        """Run all queued steps in order, including those queued meanwhile."""
        steps = self.steps
        while steps:
            step, arguments = steps.popleft()
            step(*arguments)

    def next_random(self) -> float:
        """Return the next random number in [0, 1); the sequence depends on the seed only."""
        self._draw_count += 1
        return crc32(f"{self._seed}/{self._draw_count}".encode()) / 2.0**32

    def set_timer(self, delay_ms: float, token: str) -> None:
        """Request a ``TimerFired`` with this token after a delay."""
        self.actions.append(messages.SetTimer(self.now + delay_ms, token))
