"""Drives an admission controller in tests: connections by address, with a manual clock."""

from cherrydoor.admission.connections import AdmittedConnection, ConnectionState
from cherrydoor.admission.controller import AdmissionController
from cherrydoor.admission.fair_reading import WINDOW_MS
from cherrydoor.admission.limits import ClientLimits, KnownClientSettings
from cherrydoor.admission.messages import (
    ClientIdentified,
    ConnectionAccepted,
    ConnectionClosed,
    PauseReading,
    Reject,
    ResumeReading,
    UsageMeasured,
)


class ControllerHarness:
    """Stands in for the listener: keeps open connections, rejections and paused connections."""

    def __init__(self, connection_slots=40, known=(), **limits):
        self.now = 1000.0
        self.controller = AdmissionController(
            ClientLimits(
                connection_slots, tuple(KnownClientSettings(*fields) for fields in known), **limits
            ),
            self.now,
        )
        self.rejections = {}
        self.open = []
        self.paused = set()

    def post(self, message):
        """Passes a message to the controller, and applies its actions."""
        actions = self.controller.take(self.now, message)
        for action in actions:
            connection = getattr(action, "connection", None)
            if isinstance(action, Reject):
                self.rejections[connection] = action
                if connection in self.open:
                    self.open.remove(connection)
                self.paused.discard(connection)
            elif isinstance(action, PauseReading):
                self.paused.add(connection)
            elif isinstance(action, ResumeReading):
                self.paused.discard(connection)
        return actions

    def accept(self, address="10.0.0.1", needs_handshake=False):
        """Returns a new connection that has been accepted and has sent nothing yet."""
        connection = AdmittedConnection(address, self.now)
        self.open.append(connection)
        self.post(ConnectionAccepted(connection, needs_handshake))
        return connection

    def connect(self, address="10.0.0.1", known_client=""):
        """Returns a new connection that has sent its hello, unless it is rejected or waits."""
        connection = self.accept(address)
        if connection.state == ConnectionState.PENDING:
            self.post(ClientIdentified(connection, known_client))
        return connection

    def close(self, connection):
        """Closes the connection, as the client would."""
        if connection in self.open:
            self.open.remove(connection)
        self.post(ConnectionClosed(connection))

    def wait(self, duration_ms, busy=0.0, descriptors=0.0, memory=0.0, windows=None):
        """Advances the time window by window, with a usage measurement in each."""
        for _ in range(windows or max(1, int(duration_ms / WINDOW_MS))):
            self.now += WINDOW_MS
            self.post(UsageMeasured(descriptors, memory, busy))

    def reason(self, connection):
        """Returns why the connection was rejected or closed, or ""."""
        return self.rejections[connection].reason if connection in self.rejections else ""

    def admitted(self, connections):
        """Returns those of the connections that hold a slot and have sent their hello."""
        return [
            connection for connection in connections if connection.state == ConnectionState.ADMITTED
        ]


def unknown_address(number):
    """Returns the address of this number; different ones share no network prefix at any width."""
    return f"{20 + number // 256 % 90}.{number % 256}.{number * 7 % 256}.1"
