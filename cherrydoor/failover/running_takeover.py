"""A takeover that is being carried out by this gateway, and how its responses come back."""

from collections.abc import Callable
from typing import Any

from cherrydoor.failover.in_flight_set import InFlightSet, ReplicatedEntry
from cherrydoor.failover.takeover import Takeover
from cherrydoor.protocol.messages import Response


class ResponseWriter:
    """Stands in for a client's connection: the dispatcher writes a request's response to it."""

    __slots__ = ("entry", "running")

    def __init__(self, running: "RunningTakeover", entry: ReplicatedEntry) -> None:
        self.running = running
        self.entry = entry

    def write(self, message: object) -> None:
        """Pass on the response; nothing else that a client is sent matters here."""
        if type(message) is Response:
            self.running.respond(self.entry, message)

    def close(self, reason: str = "", retry_after_ms: float = 0.0) -> None:
        """Do nothing: there is no connection."""


class RunningTakeover:
    """A takeover that is being carried out here.

    Attributes:
        takeover: What is decided.
        retrying: The owner's numbers of requests that are run again and have no response yet.
        adopted: The owner's numbers of requests whose adopted attempt is awaited.
        first_decision_at_ms: When its requests were decided.
    """

    def __init__(
        self,
        takeover: Takeover,
        responded: Callable[[InFlightSet, ReplicatedEntry, Response], None],
    ) -> None:
        self.takeover = takeover
        self.in_flight = takeover.in_flight
        self.retrying: set[int] = set()
        self.adopted: set[int] = set()
        self.first_decision_at_ms = 0.0
        self._responded = responded

    @property
    def completed(self) -> bool:
        """Whether every request has its response."""
        return self.takeover.completed and not self.retrying and not self.adopted

    def respond(self, entry: ReplicatedEntry, response: Response) -> None:
        """Note that a request that was retried or adopted has its response."""
        number = entry.request.number
        if number in self.retrying:
            self.retrying.discard(number)
            self.takeover.retry_ended()
        self.adopted.discard(number)
        self._responded(self.in_flight, entry, response)

    def row(self) -> dict[str, Any]:
        """Return what operators are shown of it while it runs."""
        return {
            "giver": self.in_flight.owner,
            "life": self.in_flight.incarnation,
            "number": self.takeover.fencing_token,
            "at work": True,
            **self.takeover.counters,
        }

    def finished_row(self, now: float) -> dict[str, Any]:
        """Return what operators are shown of it once it has completed."""
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
