"""Graceful shutdown at SIGTERM: keeps accepting for a while, closes the listener, then drains."""

from typing import Any

# After SIGTERM clients are still accepted for this time, in which the front end learns of it.
ACCEPTING_S = 0.7
# After the listener has closed, requests in flight get as long as the longest deadline, but no more
# than this: the platform may kill the process then.
MAX_DRAIN_S = 3.0
FORCED_END_MARGIN_S = 0.2  # before the drain time is over; at most half of the drain time
FIRST_CHECK_S = 0.1  # from the close of the listener to the first check for remaining clients
CHECK_INTERVAL_S = 0.05  # between these checks
ENDED, ENDED_WITH_REQUESTS = 0, 3  # exit codes


class GracefulShutdown:
    """Ends a service when no client connection is left or the drain time is over.

    Args:
        service: The gateway's service.

    Attributes:
        started: Whether a signal has started it; further signals are ignored.
    """

    def __init__(self, service: Any) -> None:
        self.service = service
        self.started = False

    def start(self) -> None:
        """Starts at SIGTERM or SIGINT; clients are accepted for ACCEPTING_S more."""
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
        """Stops accepting clients; requests in flight still get their responses."""
        service = self.service
        service.listeners.close()
        service.post(service.dispatcher.drain, "the gateway is leaving")
        service.client_listener.drain()
        service.loop.call_later(FIRST_CHECK_S, self.end_when_drained)

    def end_when_drained(self) -> None:
        """Ends the service when no client connection is left; until then checks again."""
        service = self.service
        if not service.client_listener.connections:
            service.end(ENDED)
            return
        service.client_listener.drain()
        service.loop.call_later(CHECK_INTERVAL_S, self.end_when_drained)

    def force_end(self) -> None:
        """Responds to all requests in flight and ends, before the process is killed."""
        self.service.dispatcher.respond_to_all("the gateway ends")
        self.service.end(ENDED_WITH_REQUESTS)
