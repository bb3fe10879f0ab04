"""Who is let in at the doors, who waits, who is refused and with what word, and who is closed to make room.

Pure: the shell posts notes with the time, and carries out the actions that come back. Times in ms.

A connection is a Caller. Until it has said who it is, it stands in the porch; then it has a place. Each Office (known
client) has places of its own, which nobody else takes; what is left is common: offices beyond their own, and strangers.
Counts per network are kept by Street, at three widths, so that many addresses of one owner count as one.

Each part is an actor: Streets, Porch, Places, Stair and Flow. They talk by notes put into inboxes, which one loop in
Guard.take empties. Tables: callers live as long as their connections; streets without callers age and are bounded in
number; what is learned of offices' addresses is bounded for each office and ages.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from ipaddress import IPv6Address, ip_network
from zlib import crc32

WIDTHS = {4: (32, 24, 16), 6: (64, 48, 32)}  # an owner has a /64 at the least in IPv6
PARTS = (1 / 8, 1 / 4, 1 / 2)  # of the common places, that one street of each width may fill
PACES = (1, 4, 8)  # of the pace of one address, for each width
MOST_STREETS = 4096  # without callers, at each width
LEARNED, LEARNED_AGE = (
    64,
    12 * 3600 * 1000.0,
)  # addresses by which an office is remembered, and for how long
SWEEP, FLOW_WINDOW = 500.0, 100.0  # ms between looks at all callers, and at who reads how much
FULL, BUSY, CALM = 0.85, 0.80, 0.60  # parts of a core's time: see Flow


# ---- notes from the shell
@dataclass(slots=True)
class ConnectionAccepted:
    """A connection has been accepted. `door` names the kind of listener, `sealed` says that it needs a handshake."""

    connection: "AdmittedConnection"
    sealed: bool = False


@dataclass(slots=True)
class ClientIdentified:
    """It has said who it is: an office that proved itself by certificate or token, or "" for anybody."""

    connection: "AdmittedConnection"
    known_client: str


@dataclass(slots=True)
class ConnectionClosed:
    """The connection is closed, by whichever end."""

    connection: "AdmittedConnection"


@dataclass(slots=True)
class ReadQuotaExceeded:
    """The caller has been read beyond what its group may within this window."""

    connection: "AdmittedConnection"


@dataclass(slots=True)
class BufferLimitExceeded:
    """Bytes of unfinished frames have gone beyond what its group may hold."""

    connection: "AdmittedConnection"


@dataclass(slots=True)
class DescriptorsExhausted:
    """A call failed for want of descriptors; `needed` where a host connection is what waits for one."""

    needed: bool


@dataclass(slots=True)
class UsageMeasured:
    """Once each window: parts in use (0 to 1) of descriptors and of memory, and the part of the last window in which
    the process had the core."""

    descriptors: float
    memory: float
    busy: float


@dataclass(slots=True)
class SlotFreed:
    """From the places to the guard: one of this office's connections has ended."""

    known_client: "KnownClient"


# ---- actions for the shell
@dataclass(slots=True)
class StartHandshake:
    """Goes on to its handshake, or to its hello where there is none."""

    connection: "AdmittedConnection"


@dataclass(slots=True)
class Admit:
    """It has a place; `largest` is the longest frame in bytes that is read from it."""

    connection: "AdmittedConnection"
    largest: int


@dataclass(slots=True)
class Reject:
    """Not let in, or closed; it may come back after stay_away ms."""

    connection: "AdmittedConnection"
    word: str
    retry_after_ms: float


@dataclass(slots=True)
class PauseReading:
    """Nothing is read from it for a while."""

    connection: "AdmittedConnection"


@dataclass(slots=True)
class ResumeReading:
    connection: "AdmittedConnection"


@dataclass(slots=True)
class PauseAccepting:
    """Accept nothing for so long."""

    span: float


def number_of(address):
    """(version, number) of an address; one of IPv4 in IPv6 clothing is one of IPv4.

    >>> number_of("10.0.0.1"), number_of("::ffff:10.0.0.1"), number_of("::1")
    ((4, 167772161), (4, 167772161), (6, 1))
    """
    parts = address.split(".")
    if len(parts) == 4 and ":" not in address:
        a, b, c, d = parts
        return 4, int(a) << 24 | int(b) << 16 | int(c) << 8 | int(d)
    ip = IPv6Address(address)
    return (4, int(ip.ipv4_mapped)) if ip.ipv4_mapped else (6, int(ip))


class LeakyBucket:
    """Leaks `pace` a second and holds `depth`; a drop goes in where there is room."""

    __slots__ = ("level", "at")

    def __init__(self, now):
        self.level, self.at = 0.0, now

    def wait(self, now, pace, depth):
        """Ms until a drop has room; 0 where it has now."""
        if now > self.at:  # a clock that is set back leaks nothing
            self.level = max(0.0, self.level - (now - self.at) * pace / 1000)
        self.at = now
        return max(0.0, (self.level + 1 - depth) / pace * 1000)

    def add(self):
        self.level += 1


class ReadGroup:
    """What is shared by the connections of one office or, for strangers, of one address: reading and bytes held."""

    __slots__ = ("read", "allowed", "held", "most_held", "callers", "paused", "whole")

    def __init__(self, most_held, whole=None):
        self.read, self.allowed, self.held, self.most_held, self.whole = (
            0,
            None,
            0,
            most_held,
            whole,
        )
        self.callers, self.paused = {}, False

    def holds(self, more):
        """Counts bytes of unfinished frames; True where the group, or all strangers together, hold too many."""
        self.held += more
        over = self.held > self.most_held
        if self.whole is not None:
            over = self.whole.holds(more) or over
        return over


class KnownClient:
    """A known client. `own` places are its alone, `most` is what it may have with common ones."""

    __slots__ = ("name", "own", "most", "bucket", "group", "seated", "learned", "nets", "line")

    def __init__(self, name, own, most, nets, most_held, now):
        self.name, self.own, self.most = name, own, max(own, most)
        self.nets = [
            (one.version, int(one[0]), int(one[-1]))
            for one in (ip_network(n, strict=False) for n in nets)
        ]
        self.bucket, self.group, self.seated, self.learned = (
            LeakyBucket(now),
            ReadGroup(most_held),
            {},
            OrderedDict(),
        )
        self.line = (
            deque()
        )  # those that wait for a place: no more than `most`, none longer than a porch's time

    def beyond(self):
        """Common places that it holds."""
        return max(0, len(self.seated) - self.own)


class NetworkPrefix:
    """A network as it is seen at one width."""

    __slots__ = ("width", "key", "bucket", "pending", "seated", "group")

    def __init__(self, width, key, now, group):
        self.width, self.key, self.bucket = width, key, LeakyBucket(now)
        self.pending, self.seated, self.group = 0, {}, group


class AdmittedConnection:
    """A connection. The shell keeps `used` (when last something came or was answered), `open` (events it waits for),
    `partial` (since when a frame is unfinished, 0 for none) and `held` (bytes of it)."""

    __slots__ = (
        "address",
        "networks",
        "known_client",
        "hinted",
        "state",
        "since",
        "used",
        "open",
        "partial",
        "held",
        "group",
        "wire",
        "slot",
        "sealed",
    )

    def __init__(self, address, now, wire=None):
        self.address, self.since, self.used, self.wire = address, now, now, wire
        self.networks, self.known_client, self.hinted, self.state = (), None, None, "new"
        self.open, self.partial, self.held, self.group, self.slot, self.sealed = (
            0,
            0.0,
            0,
            None,
            0,
            False,
        )


@dataclass(slots=True)
class KnownClientSettings:
    """An office as handed over. `addresses` are networks by which it is known before it has said anything."""

    name: str
    own: int
    most: int
    addresses: tuple = ()


@dataclass(slots=True)
class ClientLimits:
    """What admission goes by. `places` is the number of connections in all. Paces are new connections a second,
    bursts how many may come at once; times in ms; sizes in bytes."""

    connection_slots: int
    known: tuple = ()
    pace: float = 20.0
    burst: float = 60.0
    office_pace: float = 200.0
    handshakes: float = 200.0
    porch_time: float = 5000.0
    frame_time: float = 5000.0
    idle: float = 5000.0
    stranger_frame: int = 16 << 20
    frame: int = 16 << 20
    stranger_bytes: int = 32 << 20
    strangers_bytes: int = 256 << 20
    office_bytes: int = 64 << 20
    seed: int = 1
    parts: tuple = PARTS  # all whole where everybody comes by one front
    pending: int = 0  # its places; 0 for an eighth of `places`


def divide_descriptors(limit, used, gateways, hosts_most):
    """Descriptors of one process: (for host connections, places for clients of each gateway, spare). Beside the places
    stands a porch with an eighth as many.

    limit: RLIMIT_NOFILE; used: those open at the start; hosts_most: host connections that the leases could ask for.
    Hosts come first, with up to half of what is free; an eighth, 4 to 64, stays for files, the list and logs.

    >>> divide(256, 16, 1, 80)
    (80, 115, 30)
    >>> divide(1024, 24, 2, 4000)
    (500, 193, 64)
    """
    free = max(0, limit - used)
    spare = min(64, max(4, free // 8))
    hosts = min(hosts_most, free // 2)
    return hosts, max(1, (free - spare - hosts) // max(1, gateways) * 8 // 9), spare


def platform_slots(limit, reserve, hosts):
    """Descriptors of a gateway whose clients come by a front: (places, porch, connections to one host).

    The front's connections take up to a third of the limit; they all have a place, and beside them stands a porch of
    half as many for those that say nothing yet. Hosts share what is left but for an eighth that stays free.

    >>> seats(256, 12, 12)
    (89, 44, 6)
    >>> seats(1024, 12, 11)
    (358, 179, 12)
    """
    places = limit * 7 // 20
    porch = places // 2
    return (
        places,
        porch,
        max(1, min(12, (limit * 7 // 8 - reserve - places - porch) // max(1, hosts))),
    )


def scale_reserved_slots(wanted, room):
    """Own places scaled down alike where they would take more than three quarters of the room; none below one.

    >>> shares([10, 30], 100)
    [10, 30]
    >>> shares([100, 300], 100)
    [18, 56]
    """
    most = room * 3 // 4
    total = sum(wanted)
    return list(wanted) if total <= most else [max(1, want * most // total) for want in wanted]


class NetworkTable:
    """Who comes from where. At each width a table in order of use; a street without callers is forgotten when its
    bucket has run dry, or when there are too many: an owner of many addresses then still meets the wider widths."""

    def __init__(self, client_limits, now):
        self.client_limits, self.tables = (
            client_limits,
            (OrderedDict(), OrderedDict(), OrderedDict()),
        )
        self.whole = ReadGroup(client_limits.strangers_bytes)

    def of(self, number, now):
        """The streets of an address, narrowest first."""
        version, bits = number
        found = []
        for width, size in enumerate(WIDTHS[version]):
            # loopback is one machine: all of 127.0.0.0/8 is one address there
            key = (
                (4, 127)
                if version == 4 and bits >> 24 == 127
                else (version, bits >> ((32 if version == 4 else 128) - size))
            )
            table = self.tables[width]
            street = table.get(key)
            if street is None:
                self.trim(table, now)
                street = table[key] = NetworkPrefix(
                    width, key, now, ReadGroup(self.client_limits.stranger_bytes, self.whole)
                )
            else:
                table.move_to_end(key)
            found.append(street)
        return tuple(found)

    def trim(self, table, now):
        """Looks at the two longest unused: both may go, so that the table shrinks faster than it grows."""
        for _ in range(min(2, len(table))):
            key = next(iter(table))
            street = table[key]
            if street.pending or street.seated:
                table.move_to_end(key)  # in use: at most as many as there are places
            elif len(table) > MOST_STREETS or street.bucket.wait(now, self.pace(street), 1) == 0.0:
                del table[key]
            else:
                return

    def pace(self, street):
        return self.client_limits.pace * PACES[street.width]

    def wait(self, streets, now):
        """Ms until all of these have room for one more; drops go into none of them before all have it."""
        return max(
            street.bucket.wait(
                now, self.pace(street), self.client_limits.burst * PACES[street.width]
            )
            for street in streets
        )


class LoadShedding:
    """How near the limits are, in steps. Up at once; down one step at a time, when it has been calm for a while that
    doubles each time it has to go up again soon after: guards against flip-flop. It harms strangers only."""

    UP, DOWN, DWELL, LONGEST = (0.80, 0.90, 0.97), (0.70, 0.80, 0.90), 1000.0, 16000.0

    def __init__(self, now):
        self.step, self.calm_since, self.dwell, self.down_at = 0, now, self.DWELL, -1e18

    def measured(self, now, part):
        wanted = sum(part >= edge for edge in self.UP)
        if wanted > self.step:
            if now - self.down_at < 4 * self.dwell:
                self.dwell = min(self.LONGEST, 2 * self.dwell)
            self.step, self.calm_since = wanted, now
        elif self.step and part >= self.DOWN[self.step - 1]:
            self.calm_since = now
        elif self.step and now - self.calm_since >= self.dwell:
            self.step, self.calm_since, self.down_at = self.step - 1, now, now
        elif not self.step and now - self.down_at > 8 * self.dwell:
            self.dwell = max(self.DWELL, self.dwell / 2)
            self.down_at = now


class FairReading:
    """Who is read how much while the core is short. Guards others' target time against connections that pour events;
    harms one that has a right to more than an equal part only while the core is short, and never below `LEAST`."""

    LEAST = 2

    def __init__(self):
        self.level, self.groups, self.limited = None, {}, {}

    def joined(self, connection):
        connection.group.callers[connection] = True
        self.groups[connection.group] = True
        if connection.group.allowed is None and self.level is not None:
            connection.group.allowed = self.level

    def left(self, connection):
        connection.group.callers.pop(connection, None)
        if not connection.group.callers:
            self.groups.pop(connection.group, None)
            self.limited.pop(connection.group, None)
            connection.group.paused, connection.group.read, connection.group.allowed = (
                False,
                0,
                None,
            )

    def poured(self, group):
        """Nothing more is read from the group in this window."""
        if group.paused or group.allowed is None:
            return []
        group.paused = True
        self.limited[group] = True
        return [PauseReading(connection) for connection in group.callers]

    def window(self, busy):
        """A window is over: the level is set anew, and those who were paused are read again."""
        read = [group.read for group in self.groups if group.read]
        if busy > FULL and read:
            # a group that was paused would have taken more than it got: its want is open-ended
            wants = [float("inf") if g.paused else g.read for g in self.groups if g.read]
            self.level = max(self.LEAST, fill(wants, sum(read) * BUSY / busy))
        elif self.level is not None and busy < CALM:
            self.level *= 1.25
            if not self.limited and self.level > 2 * max(read, default=0):
                self.level = None  # nobody has been near it: the step ends by itself
        actions = []
        for group in self.groups:
            group.read, group.allowed = 0, None if self.level is None else int(self.level)
        for group in self.limited:
            group.paused = False
            actions += [ResumeReading(connection) for connection in group.callers]
        self.limited = {}
        return actions


def fill(wants, room):
    """The level up to which each may be served so that all of the room is used: max-min fairness.

    >>> fill([1, 2, 10, float("inf")], 13)
    5.0
    >>> fill([1, 2], 10)
    2
    """
    level, left = 0, room
    wants = sorted(wants)
    for i, want in enumerate(wants):
        equal = left / (len(wants) - i)
        if want >= equal:
            return equal
        level, left = want, left - want
    return level


class ConnectionSlots:
    """Every place passes through take(): the one spot where the offices' own are kept from all others."""

    def __init__(self, client_limits, now):
        self.client_limits = client_limits
        self.porch_most = client_limits.pending or max(2, client_limits.connection_slots // 8)
        own = scale_reserved_slots(
            [known.own for known in client_limits.known], client_limits.connection_slots
        )
        self.offices = {
            known.name: KnownClient(
                known.name, n, known.most, known.addresses, client_limits.office_bytes, now
            )
            for known, n in zip(client_limits.known, own, strict=True)
        }
        self.common = max(0, client_limits.connection_slots - sum(own))
        self.strangers, self.idle, self.serial = {}, [], 0

    def used(self):
        """Common places that are taken."""
        return len(self.strangers) + sum(
            known_client.beyond() for known_client in self.offices.values()
        )

    def take(self, connection, now, step):
        """(a refusal's word or "", callers to be closed to make room)."""
        if connection.known_client is not None:
            return self.take_office(connection, connection.known_client, now)
        for street in connection.networks:
            if len(street.seated) >= max(
                1, int(self.common * self.client_limits.parts[street.width])
            ):
                victim = self.longest(street.seated, now)
                if victim is None:
                    return "too many connections from this network", []
                return self.strange(connection, [victim])
        if step >= 2:
            return "no new clients for the moment", []
        if self.used() < self.common:
            return self.strange(connection, [])
        victim = self.idlest(now)
        if victim is None:
            return "no place is free", []
        return self.strange(connection, [victim])

    def strange(self, connection, victims):
        self.strangers[connection] = True
        for street in connection.networks:
            street.seated[connection] = True
        self.serial += 1
        heappush(self.idle, (connection.used, self.serial, connection))
        return "", victims

    def take_office(self, connection, known_client, now):
        held, victims = len(known_client.seated), []
        if held >= known_client.own and (held >= known_client.most or self.used() >= self.common):
            # beyond its own: a stranger that idles makes room, else one of its own that does, as after a lost floor
            # whose connections look alive
            victim = self.idlest(now) if held < known_client.most else None
            victim = victim or self.longest(known_client.seated, now)
            if victim is None:
                return "as many connections are open as this client may have", []
            victims = [victim]
        known_client.seated[connection] = True
        return "", victims

    def leave(self, connection):
        if connection.known_client is not None:
            connection.known_client.seated.pop(connection, None)
        elif self.strangers.pop(connection, None):
            for street in connection.networks:
                street.seated.pop(connection, None)
            if len(self.idle) > 2 * len(self.strangers) + 64:
                self.idle = [entry for entry in self.idle if entry[2] in self.strangers]
                heapify(self.idle)

    def longest(self, callers, now):
        """The longest idle of these, if any is idle."""
        found = [
            c
            for c in callers
            if c.state == "seated" and not c.open and now - c.used >= self.client_limits.idle / 5
        ]
        return min(found, key=lambda c: (c.used, c.since), default=None)

    def idlest(self, now):
        """The longest idle stranger of all; entries whose caller was used since are put back where they belong."""
        for _ in range(len(self.idle)):
            used, _, connection = self.idle[0]
            if connection not in self.strangers or connection.state != "seated":
                heappop(self.idle)
            elif connection.open or connection.used > used:
                heappop(self.idle)
                self.serial += 1
                heappush(
                    self.idle,
                    (
                        max(connection.used, now if connection.open else 0.0),
                        self.serial,
                        connection,
                    ),
                )
            else:
                return connection if now - used >= self.client_limits.idle else None
        return None


class PendingConnections:
    """Those that have not said who they are. `unshown` holds all of them in order of arrival, `slots` those that have
    a porch place, `lines` those that wait for a handshake: offices first."""

    def __init__(self, client_limits, most, now):
        self.client_limits, self.most, self.drawn = client_limits, most, 0
        self.unshown, self.slots, self.lines, self.bucket = (
            OrderedDict(),
            [],
            (deque(), deque()),
            LeakyBucket(now),
        )

    def chance(self):
        self.drawn += 1
        return crc32(f"porch/{self.client_limits.seed}/{self.drawn}".encode()) / 2.0**32

    def enter(self, connection):
        """Takes a porch place; whoever has to leave for it, or None.

        Of some drawn by chance the one goes whose network fills the porch most. Chance guards against those that hold
        their places just as long as they may: one that says who it is at once is rarely in the way of the draw."""
        victim = None
        if len(self.slots) >= self.most:
            drawn = [self.slots[int(self.chance() * len(self.slots))] for _ in range(4)]
            victim = max(
                drawn,
                key=lambda c: (
                    c.hinted is None,
                    c.networks[2].pending,
                    c.networks[0].pending,
                    -c.since,
                ),
            )
            self.leave(victim)
        connection.slot = len(self.slots)
        self.slots.append(connection)
        for street in connection.networks:
            street.pending += 1
        return victim

    def leave(self, connection):
        slots, at = self.slots, connection.slot
        if at < len(slots) and slots[at] is connection:
            last = slots.pop()
            if last is not connection:
                slots[at], last.slot = last, at
            for street in connection.networks:
                street.pending -= 1

    def patience(self, step):
        return self.client_limits.porch_time / (1, 2, 5, 10)[step]

    def overdue(self, now, step):
        found, wait = [], self.patience(step)
        for connection in self.unshown:
            if now - connection.since < wait:
                break
            found.append(connection)
        return found

    def next_in_line(self, now):
        """Who may begin a handshake now."""
        for line in self.lines:
            while line:
                if line[0].state != "waiting":
                    line.popleft()
                elif (
                    self.bucket.wait(
                        now,
                        self.client_limits.handshakes,
                        max(4.0, self.client_limits.handshakes / 10),
                    )
                    > 0
                ):
                    return None
                else:
                    self.bucket.add()
                    return line.popleft()
        return None

    def waiting(self):
        return any(self.lines)


class AdmissionController:
    """One gateway's doors. take(now, note) gives actions; `counts` says how often which word was said."""

    def __init__(self, client_limits, now):
        self.client_limits, self.now = client_limits, now
        self.connection_slots = ConnectionSlots(client_limits, now)
        self.pending = PendingConnections(client_limits, self.connection_slots.porch_most, now)
        self.networks, self.load_shedding, self.fair_reading = (
            NetworkTable(client_limits, now),
            LoadShedding(now),
            FairReading(),
        )
        self.all_strangers = LeakyBucket(now)
        self.inbox, self.actions, self.counters, self.swept = deque(), [], {}, now
        self.rest, self.rested = 50.0, now
        self.hear = {
            ConnectionAccepted: self.knock,
            ClientIdentified: self.shown,
            ConnectionClosed: self.gone,
            ReadQuotaExceeded: self.poured,
            BufferLimitExceeded: self.swollen,
            DescriptorsExhausted: self.exhausted,
            UsageMeasured: self.measured,
            SlotFreed: self.freed,
        }

    def take(self, now, note):
        """All that follows from one note. A clock that is set back stands still here."""
        self.now = now = max(now, self.now)
        self.inbox.append(note)
        while self.inbox:
            note = self.inbox.popleft()
            self.hear[type(note)](note)
        actions, self.actions = self.actions, []
        return actions

    def do(self, action):
        self.actions.append(action)

    def count(self, what):
        self.counters[what] = self.counters.get(what, 0) + 1

    # ---- a connection's way in
    def knock(self, note):
        connection, now = note.connection, self.now
        connection.sealed = note.sealed
        number = number_of(connection.address)
        connection.networks = self.networks.of(number, now)
        known_client = connection.known_client = self.listed(number)
        connection.hinted = known_client or self.remembered(connection.address)
        if connection.hinted is not None:
            wait = connection.hinted.bucket.wait(
                now, self.client_limits.office_pace, self.burst_of(connection.hinted)
            )
            if wait > 0:
                return self.turn_away(connection, "this client connects too often", wait)
            connection.hinted.bucket.add()
        else:
            if self.load_shedding.step >= 3:
                return self.turn_away(
                    connection, "no new clients for the moment", 2 * self.load_shedding.dwell
                )
            wait = max(
                self.networks.wait(connection.networks, now),
                self.all_strangers.wait(
                    now, 16 * self.client_limits.pace, 16 * self.client_limits.burst
                ),
            )
            if wait > 0:
                return self.turn_away(
                    connection, "too many new connections from this network", wait
                )
            self.all_strangers.add()
            for street in connection.networks:
                street.bucket.add()
        if known_client is not None:
            word, victims = self.connection_slots.take(connection, now, self.load_shedding.step)
            if word:
                connection.known_client = None
                if len(known_client.line) >= known_client.most:
                    return self.turn_away(connection, word, self.client_limits.idle / 5)
                # its old connections may have ended already where nobody has seen it yet: it waits for that
                known_client.line.append(connection)
                connection.state, self.pending.unshown[connection] = "waiting", True
                return
            self.make_room(victims)
        elif victim := self.pending.enter(connection):
            self.close(victim, "others need the porch", 250.0)
        self.pending.unshown[connection] = True
        self.go_on(connection)

    def go_on(self, connection):
        if connection.sealed:
            connection.state = "waiting"
            self.pending.lines[connection.hinted is None].append(connection)
            self.advance()
        else:
            connection.state = "porch"
            self.do(StartHandshake(connection))

    def freed(self, note):
        """The next in the office's line takes the place."""
        line = note.known_client.line
        while line:
            connection = line[0]
            if connection.state == "waiting":
                connection.known_client = note.known_client
                word, victims = self.connection_slots.take(
                    connection, self.now, self.load_shedding.step
                )
                if word:
                    connection.known_client = None
                    return
                self.make_room(victims)
                self.go_on(connection)
            line.popleft()

    def advance(self):
        while (connection := self.pending.next_in_line(self.now)) is not None:
            connection.state = "porch"
            self.do(StartHandshake(connection))

    def burst_of(self, known_client):
        """All of an office's connections may come back at once, twice over."""
        return max(2.0 * known_client.most, self.client_limits.burst)

    def listed(self, number):
        version, bits = number
        for known_client in self.connection_slots.offices.values():
            for net, first, last in known_client.nets:
                if net == version and first <= bits <= last:
                    return known_client
        return None

    def remembered(self, address):
        """An office that proved itself from this very address not long ago; it still has to, but need not queue with
        strangers. Guards an office without listed addresses against a flood from its own network."""
        for known_client in self.connection_slots.offices.values():
            at = known_client.learned.get(address)
            if at is not None:
                if self.now - at < LEARNED_AGE:
                    return known_client
                del known_client.learned[address]
        return None

    def shown(self, note):
        connection, now = note.connection, self.now
        if connection.state != "porch":
            return
        self.pending.unshown.pop(connection, None)
        self.pending.leave(connection)
        known_client = self.connection_slots.offices.get(note.known_client)
        if known_client is not None:
            known_client.learned[connection.address] = now
            known_client.learned.move_to_end(connection.address)
            while len(known_client.learned) > LEARNED:
                known_client.learned.popitem(last=False)
        if (
            connection.known_client is not None
            and known_client is not None
            and known_client is not connection.known_client
        ):
            # what is proved goes before where it comes from
            self.connection_slots.leave(connection)
            connection.known_client = None
        if connection.known_client is None:
            connection.known_client = known_client
            word, victims = self.connection_slots.take(connection, now, self.load_shedding.step)
            if word:
                connection.known_client = None
                return self.turn_away(connection, word, max(500.0, self.load_shedding.dwell))
            self.make_room(victims)
        connection.state, connection.used = "seated", now
        connection.group = (
            connection.known_client.group
            if connection.known_client
            else connection.networks[0].group
        )
        self.fair_reading.joined(connection)
        self.count("seated: known" if connection.known_client else "seated: strangers")
        self.do(
            Admit(
                connection,
                self.client_limits.frame
                if connection.known_client
                else self.client_limits.stranger_frame,
            )
        )

    def make_room(self, victims):
        for victim in victims:
            self.close(victim, "idle, and others need the place", 1000.0)

    # ---- the way out
    def turn_away(self, connection, word, retry_after_ms):
        self.count(f"refused: {word}")
        self.forget(connection)
        self.do(Reject(connection, word, retry_after_ms))

    def close(self, connection, word, retry_after_ms):
        """The place is free from now on; the connection's end itself then tells nothing new."""
        self.count(f"closed: {word}")
        self.forget(connection)
        self.do(Reject(connection, word, retry_after_ms))

    def gone(self, note):
        self.forget(note.connection)

    def forget(self, connection):
        """The one place where a caller stops being counted."""
        if connection.state == "over":
            return
        self.pending.unshown.pop(connection, None)
        self.pending.leave(connection)
        self.connection_slots.leave(connection)
        if connection.known_client is not None and connection.known_client.line:
            self.inbox.append(SlotFreed(connection.known_client))
        if connection.group is not None:
            connection.group.holds(-connection.held)
            connection.held = 0
            self.fair_reading.left(connection)
        connection.state = "over"

    # ---- what goes on
    def poured(self, note):
        if note.connection.state == "seated":
            for action in self.fair_reading.poured(note.connection.group):
                self.do(action)
            self.count("read less")

    def swollen(self, note):
        """The one that holds most goes: the bytes are freed at once."""
        group = note.connection.group
        if note.connection.state != "seated":
            return
        if group.held > group.most_held:
            self.close(
                max(group.callers, key=lambda c: (c.held, c.since)),
                "too many bytes are unfinished",
                1000.0,
            )
        elif group.whole is not None and group.whole.held > group.whole.most_held:
            self.close(
                max(self.connection_slots.strangers, key=lambda c: (c.held, c.since)),
                "too many bytes are unfinished",
                1000.0,
            )

    def exhausted(self, note):
        """Descriptors ran out at a call. A host connection is worth an idle stranger, else one in the porch, else any
        stranger. Accepting rests, longer each time it is met again soon."""
        self.count("descriptors ran out")
        victim = self.connection_slots.idlest(self.now) or (
            self.pending.slots[0] if self.pending.slots else None
        )
        if victim is None and note.needed:
            victim = max(
                self.connection_slots.strangers, key=lambda c: (not c.open, -c.used), default=None
            )
        if victim is not None:
            self.close(victim, "descriptors have run out", 2000.0)
        self.rest = min(1000.0, 2 * self.rest) if self.now - self.rested < 4 * self.rest else 50.0
        self.rested = self.now
        if not note.needed:
            self.do(PauseAccepting(self.rest))

    def measured(self, note):
        now, porch = self.now, self.pending
        handshakes = sum(map(len, porch.lines)) / max(8.0, self.client_limits.handshakes)
        self.load_shedding.measured(now, max(note.descriptors, note.memory, handshakes))
        self.advance()
        for connection in porch.overdue(now, self.load_shedding.step):
            self.close(connection, "no hello in time", 1000.0)
        for action in self.fair_reading.window(note.busy):
            self.do(action)
        if now - self.swept >= SWEEP:
            self.swept = now
            self.sweep(now)

    def sweep(self, now):
        """Frames that never end; and what has aged is let go, a little each time."""
        since = now - self.client_limits.frame_time
        for connection in [
            connection
            for connection in self.callers()
            if connection.partial and connection.partial < since
        ]:
            self.close(connection, "a frame was not finished in time", 1000.0)
        for table in self.networks.tables:
            for _ in range(32):
                before = len(table)
                if before:
                    self.networks.trim(table, now)
                if len(table) == before:
                    break

    def config(self):
        """What an operator watches, as (name, figure)."""
        yield from (
            ("step of the stair", self.load_shedding.step),
            ("places: common", self.connection_slots.common),
            ("places: common used", self.connection_slots.used()),
            ("porch", len(self.pending.slots)),
            ("unshown", len(self.pending.unshown)),
            ("read level", self.fair_reading.level or 0),
            ("streets", sum(map(len, self.networks.tables))),
        )
        for known_client in self.connection_slots.offices.values():
            yield f"places of {known_client.name}", len(known_client.seated)

    def callers(self):
        """All that have a place."""
        yield from self.connection_slots.strangers
        for known_client in self.connection_slots.offices.values():
            yield from known_client.seated
