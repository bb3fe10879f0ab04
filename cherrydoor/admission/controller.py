"""The admission controller of a gateway: takes messages with the time, and gives actions.

It does no I/O and reads no clock. Its parts each own one table: NetworkTable, ConnectionSlots,
PendingConnections, LoadShedding and FairReading. Connections live in them as long as they are open;
network prefixes without connections age and are bounded in number, as are the addresses learned of
known clients.
"""

from collections import deque
from collections.abc import Iterator

from cherrydoor.admission import reasons
from cherrydoor.admission.accept_rates import AcceptBackoff, ConnectionRates
from cherrydoor.admission.connection_slots import OWN_IDLE_DIVISOR, ConnectionSlots
from cherrydoor.admission.connections import (
    ADMITTED,
    CLOSED,
    PENDING,
    WAITING,
    AdmittedConnection,
)
from cherrydoor.admission.fair_reading import FairReading
from cherrydoor.admission.gauges import gauges_of
from cherrydoor.admission.known_clients import KnownClient
from cherrydoor.admission.limits import ClientLimits
from cherrydoor.admission.load_shedding import LoadShedding
from cherrydoor.admission.messages import (
    Action,
    Admit,
    BufferLimitExceeded,
    ClientIdentified,
    ConnectionAccepted,
    ConnectionClosed,
    DescriptorsExhausted,
    Message,
    PauseAccepting,
    ReadQuotaExceeded,
    Reject,
    StartHandshake,
    UsageMeasured,
)
from cherrydoor.admission.network_table import NetworkTable, parse_address
from cherrydoor.admission.pending_connections import PendingConnections

SWEEP_MS = 500.0  # between looks at all connections for frames that are not finished
LEAST_HANDSHAKE_CAPACITY = 8.0  # queued handshakes that count as full use, whatever their rate


class AdmissionController:
    """Decides about the client connections of one gateway; `counters` counts what happened."""

    def __init__(self, client_limits: ClientLimits, now: float) -> None:
        self.client_limits = client_limits
        self.now = now
        self.connection_slots = ConnectionSlots(client_limits, now)
        self.known_clients = self.connection_slots.known_clients
        self.pending = PendingConnections(client_limits, now)
        self.networks = NetworkTable(client_limits)
        self.rates = ConnectionRates(client_limits, self.networks, now)
        self.accept_backoff = AcceptBackoff(now)
        self.load_shedding = LoadShedding(now)
        self.fair_reading = FairReading()
        self.counters: dict[str, int] = {}
        self._actions: list[Action] = []
        # Known clients with a freed slot and waiting connections, served after each message.
        self._with_freed_slot: deque[KnownClient] = deque()
        self._swept_at_ms = now

    def take(self, now: float, message: Message) -> list[Action]:
        """Decides what follows from one message.

        Args:
            now: Time in ms; a clock that is set back stands still here.
            message: What has happened.
        """
        self.now = max(now, self.now)
        self._handle(message)
        while self._with_freed_slot:
            self._admit_waiting(self._with_freed_slot.popleft())
        actions = self._actions
        self._actions = []
        return actions

    def _handle(self, message: Message) -> None:
        """The one place where messages find their methods."""
        match message:
            case ConnectionAccepted():
                self._connection_accepted(message.connection, message.needs_handshake)
            case ClientIdentified():
                self._client_identified(message.connection, message.known_client)
            case ConnectionClosed():
                self._forget(message.connection)
            case ReadQuotaExceeded():
                self._read_quota_exceeded(message.connection)
            case BufferLimitExceeded():
                self._buffer_limit_exceeded(message.connection)
            case DescriptorsExhausted():
                self._descriptors_exhausted(message.needed)
            case UsageMeasured():
                self._usage_measured(message)

    def count(self, what: str) -> None:
        """Counts once more what has happened, for metrics."""
        self.counters[what] = self.counters.get(what, 0) + 1

    def _connection_accepted(self, connection: AdmittedConnection, needs_handshake: bool) -> None:
        """Rejects a connection that comes too soon; others start, or wait for a slot."""
        connection.needs_handshake = needs_handshake
        version, bits = parse_address(connection.address)
        connection.networks = self.networks.prefixes_of(version, bits, self.now)
        listed = self.known_clients.with_network_of(version, bits)
        # Set before the rates are looked at: a rejection then gives those that wait for a slot
        # another try.
        connection.known_client = listed
        connection.presumed_client = listed or self.known_clients.verified_from(
            connection.address, self.now
        )
        too_soon = self.rates.check(connection, self.load_shedding, self.now)
        if too_soon is not None:
            self._reject(connection, too_soon.reason, too_soon.retry_after_ms)
            return
        if listed is not None:
            self._take_listed(connection, listed)
            return
        victim = self.pending.enter(connection)
        if victim is not None:
            self._close(victim, reasons.PENDING_EVICTED, reasons.RETRY_PENDING_EVICTED_MS)
        self.pending.unidentified[connection] = True
        self._start(connection)

    def _take_listed(self, connection: AdmittedConnection, client: KnownClient) -> None:
        """Gives a slot to a connection from a configured network, before it has proved anything."""
        refusal = self._acquire_slot(connection)
        if not refusal:
            self.pending.unidentified[connection] = True
            self._start(connection)
        elif len(client.waiting) >= client.slot_limit:
            self._reject(connection, refusal, self.client_limits.idle_ms / OWN_IDLE_DIVISOR)
        else:
            # Old connections of this client may have ended though nobody has seen it yet.
            client.waiting.append(connection)
            connection.state = WAITING
            self.pending.unidentified[connection] = True

    def _acquire_slot(self, connection: AdmittedConnection) -> str:
        """Gives the connection a slot and closes whoever makes room; gives the refusal or ""."""
        grant = self.connection_slots.acquire(connection, self.now, self.load_shedding.step)
        if grant.refusal:
            connection.known_client = None
        elif grant.victim is not None:
            self._close(grant.victim, reasons.IDLE_EVICTED, reasons.RETRY_CLOSED_MS)
        return grant.refusal

    def _admit_waiting(self, client: KnownClient) -> None:
        """The next that wait for a slot of this known client get what is free."""
        waiting = client.waiting
        while waiting:
            connection = waiting[0]
            if connection.state is WAITING:
                connection.known_client = client
                if self._acquire_slot(connection):
                    return
                self._start(connection)
            waiting.popleft()

    def _start(self, connection: AdmittedConnection) -> None:
        """The connection queues for its handshake, or goes on to its hello where there is none."""
        if connection.needs_handshake:
            connection.state = WAITING
            self.pending.queue_handshake(connection)
            self._start_handshakes()
        else:
            connection.state = PENDING
            self._actions.append(StartHandshake(connection))

    def _start_handshakes(self) -> None:
        """Starts the handshakes that the rate allows now."""
        while (connection := self.pending.next_handshake(self.now)) is not None:
            connection.state = PENDING
            self._actions.append(StartHandshake(connection))

    def _client_identified(self, connection: AdmittedConnection, name: str) -> None:
        """Admits or rejects the connection; what was proved goes before where it comes from."""
        if connection.state is not PENDING:
            return
        self.pending.unidentified.pop(connection, None)
        self.pending.leave(connection)
        proved = self.known_clients.by_name.get(name)
        if proved is not None:
            proved.remember(connection.address, self.now)
            if connection.known_client is not None and proved is not connection.known_client:
                self.connection_slots.release(connection)
                connection.known_client = None
        if connection.known_client is None:
            connection.known_client = proved
            refusal = self._acquire_slot(connection)
            if refusal:
                retry_after_ms = max(reasons.RETRY_NO_SLOT_MS, self.load_shedding.dwell_ms)
                self._reject(connection, refusal, retry_after_ms)
                return
        self._admit(connection)

    def _admit(self, connection: AdmittedConnection) -> None:
        """The connection holds a slot and has said who it is."""
        connection.state = ADMITTED
        connection.used = self.now
        client = connection.known_client
        if client is not None:
            self.fair_reading.add(connection, client.group)
            self.count("admitted: known clients")
            longest_frame_bytes = self.client_limits.known_frame_bytes
        else:
            self.fair_reading.add(connection, connection.networks[0].group)
            self.count("admitted: unknown clients")
            longest_frame_bytes = self.client_limits.unknown_frame_bytes
        self._actions.append(Admit(connection, longest_frame_bytes))

    def _reject(self, connection: AdmittedConnection, reason: str, retry_after_ms: float) -> None:
        """The connection gets no slot."""
        self.count(f"refused: {reason}")
        self._forget(connection)
        self._actions.append(Reject(connection, reason, retry_after_ms))

    def _close(self, connection: AdmittedConnection, reason: str, retry_after_ms: float) -> None:
        """Closes a connection; its slot is free at once, before ConnectionClosed comes."""
        self.count(f"closed: {reason}")
        self._forget(connection)
        self._actions.append(Reject(connection, reason, retry_after_ms))

    def _forget(self, connection: AdmittedConnection) -> None:
        """The one place where a connection stops being counted."""
        if connection.state is CLOSED:
            return
        self.pending.unidentified.pop(connection, None)
        self.pending.leave(connection)
        self.connection_slots.release(connection)
        client = connection.known_client
        if client is not None and client.waiting:
            self._with_freed_slot.append(client)
        if connection.group is not None:
            connection.group.add_held_bytes(-connection.held)
            connection.held = 0
            self.fair_reading.remove(connection, connection.group)
        connection.state = CLOSED

    def _read_quota_exceeded(self, connection: AdmittedConnection) -> None:
        """Nothing more is read from the connection's group in this window."""
        if connection.state is ADMITTED and connection.group is not None:
            self._actions.extend(self.fair_reading.pause(connection.group))
            self.count("read quota exceeded")

    def _buffer_limit_exceeded(self, connection: AdmittedConnection) -> None:
        """Closes the connection that holds most, whose bytes are freed at once."""
        group = connection.group
        if connection.state is not ADMITTED or group is None:
            return
        largest = self.connection_slots.largest_holder(group)
        if largest is not None:
            self._close(largest, reasons.UNFINISHED_BYTES, reasons.RETRY_CLOSED_MS)

    def _descriptors_exhausted(self, needed: bool) -> None:
        """Frees a descriptor, and pauses accepting for longer each time that it comes again soon.

        An idle unknown client is closed, else a pending connection; for an upstream connection any
        unknown client.
        """
        self.count("descriptors ran out")
        victim = self.connection_slots.longest_idle_unknown(self.now)
        if victim is None and self.pending.slots:
            victim = self.pending.slots[0]
        if victim is None and needed:
            victim = self.connection_slots.longest_unused_unknown()
        if victim is not None:
            self._close(victim, reasons.NO_DESCRIPTORS, reasons.RETRY_NO_DESCRIPTORS_MS)
        pause_ms = self.accept_backoff.exhausted(self.now)
        if not needed:
            self._actions.append(PauseAccepting(pause_ms))

    def _usage_measured(self, usage: UsageMeasured) -> None:
        """A window is over: sets the step and the read level, and closes what is overdue."""
        handshake_capacity = max(LEAST_HANDSHAKE_CAPACITY, self.client_limits.handshake_rate)
        handshakes = self.pending.handshakes_waiting() / handshake_capacity
        self.load_shedding.update(self.now, max(usage.descriptors, usage.memory, handshakes))
        self._start_handshakes()
        for connection in self.pending.overdue(self.now, self.load_shedding.step):
            self._close(connection, reasons.NO_HELLO, reasons.RETRY_CLOSED_MS)
        self._actions.extend(self.fair_reading.end_window(usage.busy))
        if self.now - self._swept_at_ms >= SWEEP_MS:
            self._swept_at_ms = self.now
            # Guards against frames that never end; harms a client on a very slow link.
            begun_before = self.now - self.client_limits.frame_timeout_ms
            for connection in self.connection_slots.unfinished_since(begun_before):
                self._close(connection, reasons.UNFINISHED_FRAME, reasons.RETRY_CLOSED_MS)
            self.networks.sweep(self.now)

    def gauges(self) -> Iterator[tuple[str, float]]:
        """What an operator watches, as (name, figure)."""
        return gauges_of(self)
