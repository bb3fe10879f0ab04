"""Rates of new connections, and pauses in accepting where descriptors are exhausted."""

from dataclasses import dataclass

from cherrydoor.admission import reasons
from cherrydoor.admission.connections import AdmittedConnection, NetworkPrefix
from cherrydoor.admission.known_clients import KnownClient
from cherrydoor.admission.leaky_bucket import LeakyBucket
from cherrydoor.admission.limits import ClientLimits
from cherrydoor.admission.load_shedding import LoadShedding
from cherrydoor.admission.network_table import NetworkTable

ALL_UNKNOWN_FACTOR = 16  # of the rate and burst of one address, for all unknown clients together
KNOWN_BURST_FACTOR = 2.0  # all connections of a known client may come back at once, twice over
REJECT_ALL_UNKNOWN_STEP = 3  # load-shedding step from which unknown clients are rejected at once
SHORTEST_ACCEPT_PAUSE_MS = 50.0
LONGEST_ACCEPT_PAUSE_MS = 1000.0  # the pause doubles up to this where it comes again soon


@dataclass(slots=True)
class TooSoon:
    """A new connection that comes too soon: the reason, and when the client may come back."""

    reason: str
    retry_after_ms: float


class ConnectionRates:
    """Rates of new connections: of known clients, of networks, and of all unknown clients.

    Guards the core against clients that connect again and again; harms many clients behind one
    address, which is why those are to be configured as known.
    """

    def __init__(self, client_limits: ClientLimits, networks: NetworkTable, now: float) -> None:
        self.client_limits = client_limits
        self.networks = networks
        self._all_unknown = LeakyBucket(now)

    def check(
        self, connection: AdmittedConnection, load_shedding: LoadShedding, now: float
    ) -> TooSoon | None:
        """Counts a new connection, unless it comes too soon."""
        if connection.presumed_client is not None:
            wait_ms = self._take_known(connection.presumed_client, now)
            reason = reasons.CONNECTS_TOO_OFTEN
        elif load_shedding.step >= REJECT_ALL_UNKNOWN_STEP:
            wait_ms = 2 * load_shedding.dwell_ms
            reason = reasons.NO_NEW_CLIENTS
        else:
            wait_ms = self._take_unknown(connection.networks, now)
            reason = reasons.TOO_MANY_NEW_FROM_NETWORK
        return TooSoon(reason, wait_ms) if wait_ms > 0 else None

    def _take_known(self, client: KnownClient, now: float) -> float:
        """Counts one more connection of a known client; if there is no room, ms until there is."""
        burst = max(KNOWN_BURST_FACTOR * client.slot_limit, self.client_limits.connection_burst)
        wait_ms = client.bucket.wait_ms(now, self.client_limits.known_client_rate, burst)
        if wait_ms > 0:
            return wait_ms
        client.bucket.add()
        return 0.0

    def _take_unknown(self, prefixes: tuple[NetworkPrefix, ...], now: float) -> float:
        """Counts one more connection of an unknown client; if there is no room, ms until then."""
        rate = ALL_UNKNOWN_FACTOR * self.client_limits.connection_rate
        burst = ALL_UNKNOWN_FACTOR * self.client_limits.connection_burst
        wait_ms = max(
            self.networks.wait_ms(prefixes, now), self._all_unknown.wait_ms(now, rate, burst)
        )
        if wait_ms > 0:
            return wait_ms
        self._all_unknown.add()
        for prefix in prefixes:
            prefix.bucket.add()
        return 0.0


class AcceptBackoff:
    """Pauses in accepting after descriptors were exhausted; they double where it comes again soon.

    Guards against a loop that accepts and fails at once. It harms all clients alike, for at most a
    second at a time.
    """

    def __init__(self, now: float) -> None:
        self.pause_ms = SHORTEST_ACCEPT_PAUSE_MS
        self._last_at_ms = now

    def exhausted(self, now: float) -> float:
        """Descriptors are exhausted once more; the pause in ms."""
        if now - self._last_at_ms < 4 * self.pause_ms:
            self.pause_ms = min(LONGEST_ACCEPT_PAUSE_MS, 2 * self.pause_ms)
        else:
            self.pause_ms = SHORTEST_ACCEPT_PAUSE_MS
        self._last_at_ms = now
        return self.pause_ms
