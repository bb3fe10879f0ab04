"""Plain metrics over HTTP/1.1 on the gateway's own loop, through the same admission as every door."""

import h11

from cherrydoor.admission import decide as d
from cherrydoor.admission.chunked_reading import ChunkedReading

LONGEST = 8192  # bytes of a request that are read


class MetricsRequest(ChunkedReading):
    """One scrape: GET /metrics, and the connection closes."""

    def __init__(self, arrival, text):
        self.arrival, self.text, self.chunk = arrival, text, bytearray(LONGEST)
        self.http, self.transport, self.read = h11.Connection(h11.SERVER, LONGEST), None, 0

    def connection_made(self, transport):
        self.transport, self.arrival.end = transport, self

    def data_received(self, data):
        self.read += len(data)
        self.holds(self.read, 0)
        try:
            self.http.receive_data(data)
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            return self.answer(error.error_status_hint, b"this is no request\n")
        if isinstance(event, h11.Request):
            self.asked = event
            self.arrival.listeners.post(d.ClientIdentified(self.arrival.connection, ""))

    def seated(self, largest):
        if self.asked.method == b"GET" and self.asked.target.split(b"?")[0] in (b"/", b"/metrics"):
            self.answer(200, self.text())
        else:
            self.answer(404, b"GET /metrics is what there is here\n")

    def answer(self, status, body, more=()):
        if self.transport.is_closing():
            return
        headers = [
            ("content-type", "text/plain; version=0.0.4; charset=utf-8"),
            ("content-length", str(len(body))),
            ("connection", "close"),
            *more,
        ]
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            for part in (
                h11.Response(status_code=status, headers=headers),
                h11.Data(data=body),
                h11.EndOfMessage(),
            ):
                self.transport.write(self.http.send(part) or b"")
        self.transport.close()

    def close(self, word="", stay_away=0.0):
        """Refused: the field that says when to come back is whole seconds, upwards."""
        self.answer(503, word.encode() + b"\n", [("retry-after", str(int(-(-stay_away // 1000))))])

    def eof_received(self):
        return False

    def connection_lost(self, error):
        self.arrival.listeners.post(d.ConnectionClosed(self.arrival.connection))
