"""The graceful shutdown at SIGTERM: clients still come, the listener closes, requests end."""

from typing import Any

ACCEPTING_S = 0.7  # after SIGTERM for which clients still come: the front learns of it meanwhile
# From then on requests in flight have the longest deadline, but this time at most: then the process
# may be killed.
MAX_DRAIN_S = 3.0
FORCED_END_MARGIN_S = 0.2  # before the drain's time is over, and at most half of that time
FIRST_CHECK_S = 0.1  # from the listener's close to the first check whether clients are left
CHECK_INTERVAL_S = 0.05  # between such checks
ENDED, ENDED_WITH_REQUESTS = 0, 3  # exit codes


class GracefulShutdown:
    """Ends a service once nobody waits for a response, or when its time is over.

    Args:
        service: The gateway's service.

    Attributes:
        started: Whether a signal has begun it; a second signal changes nothing.
    """

    def __init__(self, service: Any) -> None:
        self.service = service
        self.started = False

    def start(self) -> None:
        """Begins at SIGTERM or SIGINT; clients still come for a while."""
        if self.started:
            return
        self.started = True
        service = self.service
        requests = len(service.dispatcher.requests)
        service.log.write_limited("draining", requests=requests)
        service.loop.call_later(ACCEPTING_S, self.close_listener)
        drain_s = min(MAX_DRAIN_S, service.configuration.longest_deadline_ms / 1000)
        margin_s = min(FORCED_END_MARGIN_S, drain_s / 2)
        service.loop.call_later(ACCEPTING_S + drain_s - margin_s, self.force_end)

    def close_listener(self) -> None:
        """Accepts nobody any more; requests in flight are answered."""
        service = self.service
        service.listeners.close()
        service.post(service.dispatcher.drain, "the gateway is leaving")
        service.client_listener.drain()
        service.loop.call_later(FIRST_CHECK_S, self.end_when_drained)

    def end_when_drained(self) -> None:
        """Ends when no client connection is left; looks again until then."""
        service = self.service
        if not service.client_listener.connections:
            service.end(ENDED)
            return
        service.client_listener.drain()
        service.loop.call_later(CHECK_INTERVAL_S, self.end_when_drained)

    def force_end(self) -> None:
        """Answers whoever still waits, and ends: the process is killed soon."""
        self.service.dispatcher.respond_to_all("the gateway ends")
        self.service.end(ENDED_WITH_REQUESTS)
