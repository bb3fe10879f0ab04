"""Metrics of the gateways of one process, in Prometheus text format over HTTP/1.1.

Scrapes are served on the gateways' event loop and pass the same admission control as clients.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import Any

import h11
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from cherrydoor.admission import messages as admission
from cherrydoor.admission.chunked_reading import ChunkedReading
from cherrydoor.admission.listener import Listener

MAX_REQUEST_BYTES = 8192  # longest request head that is read
METRICS_TARGETS = (b"/", b"/metrics")


class MetricsCollector:
    """Reads counters and gauges from the services of a process on each scrape."""

    def __init__(self, services: Sequence[Any]) -> None:
        """Keeps a reference to the list of services, to which more may be added."""
        self.services = services

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Yields the counters and the gauges, labelled with the gateway and the name of each."""
        counters = CounterMetricFamily(
            "cherrydoor_total", "Cumulative counters of a gateway", labels=["gateway", "what"]
        )
        gauges = GaugeMetricFamily(
            "cherrydoor_now", "Current values of a gateway", labels=["gateway", "what"]
        )
        for service in self.services:
            name, dispatcher = service.config.name, service.dispatcher
            controller = service.listeners.controller
            for what, value in [*dispatcher.counters.items(), *controller.counters.items()]:
                counters.add_metric([name, what], value)
            for what, value in (
                ("requests", len(dispatcher.requests)),
                ("hosts", len(dispatcher.hosts)),
                ("clients", len(dispatcher.clients)),
                ("timers", len(dispatcher.timers)),
                ("timer lag ms", dispatcher.timer_lag_ms),
                *controller.gauges(),
            ):
                gauges.add_metric([name, what], value)
        yield counters
        yield gauges


def serve_metrics(services: Sequence[Any], listen_address: tuple[str, int]) -> None:
    """Opens the listener for scrapes; the first service's listener set admits and closes it.

    Raises:
        OSError: The address cannot be bound.
    """
    registry = CollectorRegistry()
    registry.register(MetricsCollector(services))
    Listener(
        services[0].listeners,
        listen_address,
        lambda incoming: MetricsRequest(incoming, lambda: generate_latest(registry)),
    )


class MetricsRequest(ChunkedReading):
    """The connection of one scrape, which is closed after one request and its response."""

    def __init__(self, incoming: Any, render_metrics: Callable[[], bytes]) -> None:
        """Prepares a connection that admission control has accepted.

        Args:
            incoming: The incoming connection.
            render_metrics: Returns the body of a successful response.
        """
        self.incoming = incoming
        self.render_metrics = render_metrics
        self.read_buffer = bytearray(MAX_REQUEST_BYTES)
        self.http = h11.Connection(h11.SERVER, MAX_REQUEST_BYTES)
        self.transport = None
        self.read_bytes = 0
        self.request: Any = None

    def connection_made(self, transport: Any) -> None:
        """Registers the connection with admission control."""
        self.transport = transport
        self.incoming.protocol_made(self)

    def data_received(self, data: bytes) -> None:
        """Reads the request and, once its head is complete, asks admission control to admit it."""
        self.read_bytes += len(data)
        self.report_unfinished_bytes(self.read_bytes, 0)
        try:
            self.http.receive_data(data)
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            self.respond(error.error_status_hint, b"this is no request\n")
            return
        if isinstance(event, h11.Request):
            self.request = event
            self.incoming.listeners.post(admission.ClientIdentified(self.incoming.connection, ""))

    def admitted(self, max_frame_bytes: int) -> None:
        """Responds to the scrape, as admission control has admitted it."""
        target = self.request.target.split(b"?")[0]
        if self.request.method == b"GET" and target in METRICS_TARGETS:
            self.respond(200, self.render_metrics())
        else:
            self.respond(404, b"GET /metrics is what there is here\n")

    def respond(
        self, status: int, body: bytes, extra_headers: Sequence[tuple[str, str]] = ()
    ) -> None:
        """Sends the response and closes; does nothing on a connection that is closing."""
        if self.transport.is_closing():
            return
        headers = [
            ("content-type", "text/plain; version=0.0.4; charset=utf-8"),
            ("content-length", str(len(body))),
            ("connection", "close"),
            *extra_headers,
        ]
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            for part in (
                h11.Response(status_code=status, headers=headers),
                h11.Data(data=body),
                h11.EndOfMessage(),
            ):
                self.transport.write(self.http.send(part) or b"")
        self.transport.close()

    def close(self, reason: str = "", retry_after_ms: float = 0.0) -> None:
        """Rejects the scrape with 503; Retry-After is in whole seconds, rounded up."""
        retry_after_s = int(-(-retry_after_ms // 1000))
        self.respond(503, reason.encode() + b"\n", [("retry-after", str(retry_after_s))])

    def eof_received(self) -> bool:
        """Lets asyncio close our side when the peer has closed its side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Notifies admission control, which frees the connection's slot."""
        self.incoming.listeners.post(admission.ConnectionClosed(self.incoming.connection))
        self.incoming.release()
