"""The admission controller of a gateway: takes a message and the current time, returns actions.

It does no I/O and reads no clock. Its parts each own one piece of state: NetworkTable,
ConnectionSlots, PendingConnections, LoadShedding and FairReading. They keep a connection for as
long as it is open. Network prefixes without connections expire and are bounded in number, and so
are the verified addresses of known clients.
"""

from collections import deque
from collections.abc import Iterator
from itertools import chain

from cherrydoor.admission import reasons
from cherrydoor.admission.accept_rates import AcceptBackoff, ConnectionRates
from cherrydoor.admission.client_memory import ClientMemory
from cherrydoor.admission.connection_slots import SAME_OWNER_IDLE_DIVISOR, ConnectionSlots
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
from cherrydoor.admission.memory_shares import MemoryShares
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

SWEEP_INTERVAL_MS = 500.0  # between scans of all admitted connections for unfinished frames
MIN_HANDSHAKE_CAPACITY = 8.0  # queued handshakes that count as full use, however low their rate


class AdmissionController:
    """Decides about the client connections of one gateway.

    Attributes:
        counters: How often each kind of event has happened, by its name in the metrics.
        all_clients: The group of all connections, which counts what is held for them.
    """

    def __init__(self, client_limits: ClientLimits, now: float) -> None:
        self.client_limits = client_limits
        self.now = now
        self.memory = ClientMemory()
        self.all_clients = self.memory.all_clients
        self.connection_slots = ConnectionSlots(client_limits, self.all_clients, now)
        self.known_clients = self.connection_slots.known_clients
        self.pending = PendingConnections(client_limits, now)
        self.networks = NetworkTable(client_limits, self.all_clients)
        self.rates = ConnectionRates(client_limits, self.networks, now)
        self.accept_backoff = AcceptBackoff(now)
        self.load_shedding = LoadShedding(now)
        self.fair_reading = FairReading()
        self.counters: dict[str, int] = {}
        self._actions: list[Action] = []
        # Known clients that have waiting connections and from which a connection has been removed.
        # Their waiting connections are admitted after the current message.
        self._clients_with_freed_slot: deque[KnownClient] = deque()
        self._last_sweep_at_ms = now

    def take(self, now: float, message: Message) -> list[Action]:
        """Decides what follows from one message.

        Args:
            now: Time in ms. A time earlier than that of a previous message is replaced by the
                latest time seen.
            message: What has happened.

        Returns:
            The actions to carry out, in this order.
        """
        self.now = max(now, self.now)
        self._handle(message)
        while self._clients_with_freed_slot:
            self._admit_waiting(self._clients_with_freed_slot.popleft())
        actions = self._actions
        self._actions = []
        return actions

    def _handle(self, message: Message) -> None:
        """Dispatches a message to its method."""
        match message:
            case ConnectionAccepted():
                self._connection_accepted(message.connection, message.needs_handshake)
            case ClientIdentified():
                self._client_identified(message.connection, message.known_client)
            case ConnectionClosed():
                self._forget(message.connection)
                message.connection.hold(0)  # a closing connection may still have held output
            case ReadQuotaExceeded():
                self._read_quota_exceeded(message.connection)
            case BufferLimitExceeded():
                self._buffer_limit_exceeded(message.connection)
            case DescriptorsExhausted():
                self._descriptors_exhausted(message.needed)
            case UsageMeasured():
                self._usage_measured(message)

    def set_memory(self, limit_bytes: float, base_bytes: float) -> MemoryShares:
        """Bounds what is held for clients by the memory that the process has beyond its own.

        Args:
            limit_bytes: Memory limit of the process.
            base_bytes: Memory that it uses without clients.

        Returns:
            The shares of memory; `held` is in force from now on.
        """
        connections = self.client_limits.connection_slots + self.pending.capacity
        return self.memory.set_limit(limit_bytes, base_bytes, connections)

    def count(self, what: str) -> None:
        """Adds one to the counter of this event in the metrics."""
        self.counters[what] = self.counters.get(what, 0) + 1

    def _connection_accepted(self, connection: AdmittedConnection, needs_handshake: bool) -> None:
        """Rejects a connection above the rate limits; others start, or wait for a slot."""
        connection.needs_handshake = needs_handshake
        version, bits = parse_address(connection.address)
        connection.networks = self.networks.prefixes_of(version, bits, self.now)
        network_owner = self.known_clients.find_by_network(version, bits)
        connection.group = network_owner.group if network_owner else connection.networks[0].group
        # Set before the rate limits are checked, so that a rejection by them also makes this
        # client's waiting connections try again for a slot.
        connection.known_client = network_owner
        connection.presumed_client = network_owner or self.known_clients.find_by_verified_address(
            connection.address, self.now
        )
        rejection = self.rates.check(connection, self.load_shedding, self.now)
        if rejection is not None:
            self._reject(connection, rejection.reason, rejection.retry_after_ms)
            return
        if network_owner is not None:
            self._accept_from_known_network(connection, network_owner)
            return
        victim = self.pending.add(connection)
        if victim is not None:
            self._close(victim, reasons.PENDING_EVICTED, reasons.RETRY_PENDING_EVICTED_MS)
        self.pending.unidentified[connection] = True
        self._start(connection)

    def _accept_from_known_network(
        self, connection: AdmittedConnection, client: KnownClient
    ) -> None:
        """Gives a connection from a known client's network a slot before it proves its identity."""
        refusal = self._acquire_slot(connection)
        if not refusal:
            self.pending.unidentified[connection] = True
            self._start(connection)
        elif len(client.waiting) >= client.slot_limit:
            self._reject(connection, refusal, self.client_limits.idle_ms / SAME_OWNER_IDLE_DIVISOR)
        else:
            # Old connections of this client may already be dead without the gateway having noticed.
            client.waiting.append(connection)
            connection.state = WAITING
            self.pending.unidentified[connection] = True

    def _acquire_slot(self, connection: AdmittedConnection) -> str:
        """Gives the connection a slot, and closes the connection that is evicted for it.

        Returns:
            The reason why there is no slot, or "" where the connection has one.
        """
        grant = self.connection_slots.acquire(connection, self.now, self.load_shedding.step)
        if grant.refusal:
            connection.known_client = None
        elif grant.victim is not None:
            self._close(grant.victim, reasons.IDLE_EVICTED, reasons.RETRY_CLOSED_MS)
        return grant.refusal

    def _admit_waiting(self, client: KnownClient) -> None:
        """Gives free slots to the waiting connections of this known client, oldest first."""
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
        """Queues the connection for its TLS handshake; without TLS it goes on to its hello."""
        if connection.needs_handshake:
            connection.state = WAITING
            self.pending.queue_handshake(connection)
            self._start_handshakes()
        else:
            connection.state = PENDING
            self._actions.append(StartHandshake(connection))

    def _start_handshakes(self) -> None:
        """Starts as many queued handshakes as the rate limit allows now."""
        while (connection := self.pending.next_handshake(self.now)) is not None:
            connection.state = PENDING
            self._actions.append(StartHandshake(connection))

    def _client_identified(self, connection: AdmittedConnection, name: str) -> None:
        """Admits or rejects the connection; a proved identity takes precedence over the network."""
        if connection.state is not PENDING:
            return
        self.pending.unidentified.pop(connection, None)
        self.pending.discard(connection)
        proved = self.known_clients.by_name.get(name)
        if proved is not None:
            proved.record_verified_address(connection.address, self.now)
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
        """Admits a connection that holds a slot and has sent its hello."""
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
        """Rejects a connection that gets no slot."""
        self.count(f"refused: {reason}")
        self._forget(connection)
        self._actions.append(Reject(connection, reason, retry_after_ms))

    def _close(self, connection: AdmittedConnection, reason: str, retry_after_ms: float) -> None:
        """Closes a connection; its slot is free immediately, before ConnectionClosed arrives."""
        self.count(f"closed: {reason}")
        self._forget(connection)
        self._actions.append(Reject(connection, reason, retry_after_ms))

    def _forget(self, connection: AdmittedConnection) -> None:
        """Marks a connection as closed and removes it from all counts; no other method does."""
        if connection.state is CLOSED:
            return
        self.pending.unidentified.pop(connection, None)
        self.pending.discard(connection)
        self.connection_slots.release(connection)
        client = connection.known_client
        if client is not None and client.waiting:
            self._clients_with_freed_slot.append(client)
        if connection.group is not None:
            connection.hold(0)
            self.fair_reading.remove(connection, connection.group)
        connection.state = CLOSED

    def _read_quota_exceeded(self, connection: AdmittedConnection) -> None:
        """Pauses reading from the connection for the rest of this window."""
        if connection.state is ADMITTED and connection.group is not None:
            self._actions.extend(self.fair_reading.pause(connection, connection.group))
            self.count("read quota exceeded")

    def _buffer_limit_exceeded(self, connection: AdmittedConnection) -> None:
        """Closes the connection that holds the most bytes.

        Its input is freed immediately, its output once it is sent or given up.
        """
        if connection.group is None:
            return
        open_connections = chain(self.pending.unidentified, self.connection_slots.admitted())
        largest = self.memory.largest_holder(connection.group, open_connections)
        if largest is not None:
            self._close(largest, reasons.UNFINISHED_BYTES, reasons.RETRY_CLOSED_MS)

    def _descriptors_exhausted(self, needed: bool) -> None:
        """Closes a connection to free a descriptor, and pauses accepting.

        An idle connection of an unknown client is closed or, if there is none, a pending
        connection. If neither exists and an upstream connection needs the descriptor, a
        connection is closed that has been idle for a shorter time. A connection with a request in
        flight is never closed for its descriptor: its client is owed the response, and an attempt
        may be running. The upstream connection then has to wait. The pause becomes longer if
        descriptors are exhausted again soon.
        """
        self.count("descriptors ran out")
        victim = self._descriptor_victim(needed)
        if victim is not None:
            self._close(victim, reasons.NO_DESCRIPTORS, reasons.RETRY_NO_DESCRIPTORS_MS)
        pause_ms = self.accept_backoff.next_pause_ms(self.now)
        if not needed:
            self._actions.append(PauseAccepting(pause_ms))

    def _descriptor_victim(self, needed: bool) -> AdmittedConnection | None:
        """Returns the connection to close for its descriptor, or None."""
        victim = self.connection_slots.longest_idle_unknown(self.now)
        if victim is None and self.pending.slots:
            victim = self.pending.slots[0]
        if victim is None and needed:
            victim = self.connection_slots.longest_unused_unknown()
        return victim

    def _usage_measured(self, usage: UsageMeasured) -> None:
        """Ends a window: updates load shedding and the read level, closes overdue connections."""
        handshake_capacity = max(MIN_HANDSHAKE_CAPACITY, self.client_limits.handshake_rate)
        handshakes = self.pending.handshakes_waiting() / handshake_capacity
        memory = self.memory.use(self.now, usage.memory)
        self.load_shedding.update(self.now, max(usage.descriptors, memory, handshakes))
        self._start_handshakes()
        for connection in self.pending.overdue(self.now, self.load_shedding.step):
            self._close(connection, reasons.NO_HELLO, reasons.RETRY_CLOSED_MS)
        self._actions.extend(self.fair_reading.end_window(usage.busy))
        if self.now - self._last_sweep_at_ms >= SWEEP_INTERVAL_MS:
            self._last_sweep_at_ms = self.now
            # A client that never completes its frames would hold their bytes until it disconnects.
            # The cost is that a client on a very slow link is disconnected too.
            begun_before = self.now - self.client_limits.frame_timeout_ms
            for connection in self.connection_slots.unfinished_since(begun_before):
                self._close(connection, reasons.UNFINISHED_FRAME, reasons.RETRY_CLOSED_MS)
            self.networks.sweep(self.now)

    def gauges(self) -> Iterator[tuple[str, float]]:
        """Yields the gauges for metrics, as (name, value)."""
        return gauges_of(self)
