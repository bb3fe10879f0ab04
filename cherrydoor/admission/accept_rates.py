"""Rate limits on new connections, and pauses in accepting when descriptors are exhausted."""

from dataclasses import dataclass

from cherrydoor.admission import reasons
from cherrydoor.admission.connections import AdmittedConnection, NetworkPrefix
from cherrydoor.admission.known_clients import KnownClient
from cherrydoor.admission.leaky_bucket import LeakyBucket
from cherrydoor.admission.limits import ClientLimits
from cherrydoor.admission.load_shedding import LoadShedding
from cherrydoor.admission.network_table import NetworkTable

ALL_UNKNOWN_FACTOR = 16  # rate and burst of all unknown clients, as a multiple of one address's
KNOWN_BURST_FACTOR = 2.0  # lets a known client reconnect all its connections at once, twice
REJECT_ALL_UNKNOWN_STEP = 3  # load-shedding step from which unknown clients are rejected at once
MIN_ACCEPT_PAUSE_MS = 50.0
MAX_ACCEPT_PAUSE_MS = 1000.0  # the pause doubles up to this while descriptors stay exhausted


@dataclass(slots=True)
class EarlyRejection:
    """Rejection of a new connection before a slot is sought: why, and when the client may retry."""

    reason: str
    retry_after_ms: float


class ConnectionRates:
    """Rate limits on new connections of known clients, of networks and of all unknown clients.

    Without them, clients that reconnect in a loop would use up the CPU core. The cost is that many
    clients behind one address share its limit, so these should be configured as known clients.
    """

    def __init__(self, client_limits: ClientLimits, networks: NetworkTable, now: float) -> None:
        self.client_limits = client_limits
        self.networks = networks
        self._all_unknown_bucket = LeakyBucket(now)

    def check(
        self, connection: AdmittedConnection, load_shedding: LoadShedding, now: float
    ) -> EarlyRejection | None:
        """Checks a new connection against the limits, and counts it if it is within them.

        Returns:
            The rejection of a connection above a limit, or of any unknown client at a high
            load-shedding step; None for a connection that may go on.
        """
        if connection.presumed_client is not None:
            wait_ms = self._count_known(connection.presumed_client, now)
            reason = reasons.CONNECTS_TOO_OFTEN
        elif load_shedding.step >= REJECT_ALL_UNKNOWN_STEP:
            wait_ms = 2 * load_shedding.dwell_ms
            reason = reasons.NO_NEW_CLIENTS
        else:
            wait_ms = self._count_unknown(connection.networks, now)
            reason = reasons.TOO_MANY_NEW_FROM_NETWORK
        return EarlyRejection(reason, wait_ms) if wait_ms > 0 else None

    def _count_known(self, client: KnownClient, now: float) -> float:
        """Counts a connection of a known client.

        Returns:
            0, or the ms until the limit allows a connection; nothing is counted then.
        """
        burst = max(KNOWN_BURST_FACTOR * client.slot_limit, self.client_limits.connection_burst)
        wait_ms = client.bucket.wait_ms(now, self.client_limits.known_client_rate, burst)
        if wait_ms > 0:
            return wait_ms
        client.bucket.add()
        return 0.0

    def _count_unknown(self, prefixes: tuple[NetworkPrefix, ...], now: float) -> float:
        """Counts a connection of an unknown client.

        Returns:
            0, or the ms until all limits allow a connection; nothing is counted then.
        """
        rate = ALL_UNKNOWN_FACTOR * self.client_limits.connection_rate
        burst = ALL_UNKNOWN_FACTOR * self.client_limits.connection_burst
        wait_ms = max(
            self.networks.wait_ms(prefixes, now), self._all_unknown_bucket.wait_ms(now, rate, burst)
        )
        if wait_ms > 0:
            return wait_ms
        self._all_unknown_bucket.add()
        for prefix in prefixes:
            prefix.bucket.add()
        return 0.0


class AcceptBackoff:
    """Backoff for accepting connections while descriptors are exhausted.

    Without a pause the event loop would spin, as each attempt to accept fails immediately. The
    cost is that all clients, known or not, wait for up to a second at a time.
    """

    def __init__(self, now: float) -> None:
        self.pause_ms = MIN_ACCEPT_PAUSE_MS
        self._last_exhausted_at_ms = now

    def next_pause_ms(self, now: float) -> float:
        """Returns the pause in ms after a call found no descriptor; it doubles if that recurs."""
        if now - self._last_exhausted_at_ms < 4 * self.pause_ms:
            self.pause_ms = min(MAX_ACCEPT_PAUSE_MS, 2 * self.pause_ms)
        else:
            self.pause_ms = MIN_ACCEPT_PAUSE_MS
        self._last_exhausted_at_ms = now
        return self.pause_ms
