"""A takeover in progress at this gateway, and the writer that collects its responses."""

from collections.abc import Callable
from typing import Any

from cherrydoor.failover.in_flight_set import InFlightSet, ReplicatedEntry
from cherrydoor.failover.takeover import Takeover
from cherrydoor.protocol.messages import Response


class ResponseWriter:
    """Takes the place of a client's connection, to which the dispatcher writes the response."""

    __slots__ = ("entry", "running")

    def __init__(self, running: "RunningTakeover", entry: ReplicatedEntry) -> None:
        self.running = running
        self.entry = entry

    def write(self, message: object) -> None:
        """Pass a response on to the takeover, and ignore all other messages."""
        if type(message) is Response:
            self.running.respond(self.entry, message)

    def close(self, reason: str = "", retry_after_ms: float = 0.0) -> None:
        """Do nothing: there is no connection."""


class RunningTakeover:
    """A takeover in progress at this gateway.

    Args:
        takeover: The takeover's state and decisions.
        on_response: Called with in-flight set, entry and response of a retried or adopted request.

    Attributes:
        takeover: The takeover's state and decisions.
        in_flight: The in-flight set that is taken over.
        retrying: Requests that are being retried and have no response yet, by the owner's number.
        adopted: Requests whose adopted attempt has no outcome yet, by the owner's number.
        first_decision_at_ms: When its requests were decided; 0.0 before.
    """

    def __init__(
        self,
        takeover: Takeover,
        on_response: Callable[[InFlightSet, ReplicatedEntry, Response], None],
    ) -> None:
        self.takeover = takeover
        self.in_flight = takeover.in_flight
        self.retrying: set[int] = set()
        self.adopted: set[int] = set()
        self.first_decision_at_ms = 0.0
        self._on_response = on_response

    @property
    def completed(self) -> bool:
        """Whether every request has its response."""
        return self.takeover.completed and not self.retrying and not self.adopted

    def respond(self, entry: ReplicatedEntry, response: Response) -> None:
        """Record the response of a retried or adopted request, and pass it on."""
        number = entry.request.number
        if number in self.retrying:
            self.retrying.discard(number)
            self.takeover.retry_ended()
        self.adopted.discard(number)
        self._on_response(self.in_flight, entry, response)

    def row(self) -> dict[str, Any]:
        """Return the row shown to operators while the takeover runs."""
        return {
            "giver": self.in_flight.owner,
            "life": self.in_flight.incarnation,
            "number": self.takeover.fencing_token,
            "at work": True,
            **self.takeover.counters,
        }

    def completed_row(self, now: float) -> dict[str, Any]:
        """Return the row shown to operators once the takeover has completed."""
        takeover = self.takeover
        first_decision_ms = self.first_decision_at_ms - takeover.started_at_ms
        return {
            "giver": self.in_flight.owner,
            "life": self.in_flight.incarnation,
            "number": takeover.fencing_token,
            "hosts": len(takeover.hosts),
            "said": len(takeover.reporting_hosts),
            "first verdict ms": round(first_decision_ms, 1),
            "ms": round(now - takeover.started_at_ms, 1),
            **takeover.counters,
        }
