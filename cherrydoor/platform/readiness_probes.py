"""Readiness probes that wait for their answer: a few are answered in each pass."""

from collections import deque
from typing import TYPE_CHECKING, Any

from cherrydoor.admission.work_per_tick import MAX_PROBES_PER_TICK
from cherrydoor.gateway.sockets import after_input

if TYPE_CHECKING:
    from cherrydoor.platform.client_connection import ClientProtocol

OK, SERVICE_UNAVAILABLE = 200, 503


class ReadinessProbes:
    """Answers readiness probes in the order in which they were read.

    A probe passes through no tick and needs no host, so clients could send the next one at once. As
    a connection's next message is read after the answer to the one before, the probes that are read
    in a pass are bounded too, however many connections send them.

    Attributes:
        waiting: Connections whose probe has no answer yet; at most all client connections.
        scheduled: Whether a call of answer_some() is scheduled.
    """

    def __init__(self, service: Any) -> None:
        self.service = service
        self.waiting: deque[ClientProtocol] = deque()
        self.scheduled = False

    def add(self, connection: "ClientProtocol") -> None:
        """Takes a probe, which is answered in one of the next passes."""
        connection.awaits_probe = True
        self.waiting.append(connection)
        self.schedule()

    def schedule(self) -> None:
        """Has answer_some() called after the next tick, once."""
        if not self.scheduled:
            self.scheduled = True
            after_input(self.service.loop, self.answer_some)

    def answer_some(self) -> None:
        """Answers the probes that have waited longest; the others wait for the next pass."""
        self.scheduled = False
        if len(self.waiting) > MAX_PROBES_PER_TICK:
            self.schedule()
        for _ in range(min(len(self.waiting), MAX_PROBES_PER_TICK)):
            connection = self.waiting.popleft()
            if connection.awaits_probe:
                self.answer(connection)

    def answer(self, connection: "ClientProtocol") -> None:
        """Answers one probe by the state that the gateway has now."""
        self.service.dispatcher.counters["readiness probes"] += 1
        if self.service.ready and not self.service.client_listener.draining:
            connection.respond(OK, "")
        else:
            connection.respond(SERVICE_UNAVAILABLE, "not ready")
