"""A trace for debugging: the router's state of each host together with the actual traffic."""

from typing import Any


class RouterTrace:
    """Logs the state of all hosts at a fixed interval.

    Args:
        service: The gateway's service.
        interval_ms: Time between two lines, in ms.
    """

    def __init__(self, service: Any, interval_ms: float) -> None:
        self.service = service
        self.interval_ms = interval_ms

    def start(self) -> None:
        """Starts counting traffic and writing lines."""
        self.service.upstream.traffic = {}
        self.schedule()

    def schedule(self) -> None:
        """Schedules the next line."""
        self.service.loop.call_later(self.interval_ms / 1000, self.write)

    def write(self) -> None:
        """Writes one line and resets the traffic counts."""
        self.schedule()
        service = self.service
        router = service.dispatcher.router
        statistics = router.statistics
        traffic = service.upstream.traffic
        service.upstream.traffic = {}
        service.log.write(
            "believed",
            mean=round(router.mean_response_ms(), 1),
            blind=statistics.most_hosts_suspect,
            brisk=round(statistics.fast_response_ms, 1),
            load=round(statistics.load_ms),
            listed=router.list_lease.is_current(service.clock.now()),
            hosts=[self.row(host, traffic) for _, host in sorted(router.hosts.items())],
        )

    def row(self, host: Any, traffic: dict[str, Any]) -> dict[str, Any]:
        """Returns the log entry of one host.

        Args:
            host: The router's host.
            traffic: Counts of commands and replies since the last line, by host id.
        """
        dispatcher = self.service.dispatcher
        now_ms = self.service.clock.now()
        record = dispatcher.hosts.get(host.id)
        links = record.connections if record else ()
        functions = dispatcher.router.history.functions.values()
        return {
            "host": host.id,
            "state": host.state,
            "lease": host.lease.holds(now_ms),
            "identified": host.identity.is_confirmed(now_ms),
            "out": len(host.in_flight),
            "load": host.load.requests(),
            "busy": host.load.overloaded,
            "shut": max(0, round(host.health.ejected_until_ms - now_ms)),
            "strikes": host.health.consecutive_failures,
            "probing": host.health.check_in_flight,
            "mean": round(host.load.mean_response_ms(), 1),
            "level": round(host.slow_start.level(now_ms), 2),
            "full": round(host.load.fullness.read(now_ms), 2),
            "copies": sum(host in function.copies for function in functions),
            "links": len(links),
            "open": sum(len(link.calls_in_flight) for link in links),
            "crossed": traffic.get(host.id, {}),
        }
