"""All fake hosts of one process, and their connection to the function store."""

import asyncio

from cherrydoor.fakes.copies import HostSpec
from cherrydoor.fakes.host import Host
from cherrydoor.fakes.record import now
from cherrydoor.protocol import messages as protocol


class StoreConnection:
    """The connection of all hosts of a pool to the function store.

    A function that two hosts need at the same time is fetched twice, as by separate hosts.

    Attributes:
        connection: None while there is none; fetches then fail.
        pending_fetches: Functions to call with the `FetchResult`, by id of the fetch.
        last_id: Id of the newest fetch.
    """

    def __init__(self, host_pool):
        self.host_pool, self.connection, self.pending_fetches, self.last_id = host_pool, None, {}, 0

    def fetch(self, function, callback):
        """Fetches a function, and calls `callback` with its `FetchResult`."""
        self.last_id += 1
        if self.connection is None:
            self.host_pool.loop.call_later(0.05, callback, protocol.FetchResult(0, "error"))
            return
        self.pending_fetches[self.last_id] = callback
        self.connection.write(protocol.FetchFunction(self.last_id, function))

    def hello_received(self, connection, hello):
        self.connection = connection

    def message_received(self, connection, message):
        callback = self.pending_fetches.pop(message.id, None)
        if callback:
            callback(message)

    def connection_ended(self, connection):
        self.connection, pending_fetches, self.pending_fetches = None, self.pending_fetches, {}
        for callback in pending_fetches.values():
            callback(protocol.FetchResult(0, "error"))


class HostPool:
    """All hosts of one process, and the state of the outside world that they share.

    Attributes:
        catalogue: Properties of each function.
        seed: Seed from which those of the hosts are derived.
        hosts: Hosts by id.
        store: Connection to the function store.
        idempotency_keys: When a key was last used, by (group of hosts, key).
        failing_functions: Functions whose attempts all fail.
        releases: Number of the current release of each function; 0 if absent.
        faulty_versions: Faults of a version by its name: `fail`, `crash` and `load_fail` are
            fractions, `slow` is a factor.
        scopes: Which hosts share idempotency keys, by request class: "all", "zone" or "cell".
    """

    def __init__(self, record, catalogue, seed=1):
        self.record, self.catalogue, self.seed, self.loop = (
            record,
            catalogue,
            seed,
            asyncio.get_running_loop(),
        )
        self.hosts, self.store, self.idempotency_keys, self.failing_functions = (
            {},
            StoreConnection(self),
            {},
            set(),
        )
        self.releases = {}
        self.faulty_versions = {}

    async def add(self, name="127.0.0.1:0", spec=None, cold=False, bind=""):
        """Starts and returns a host; port 0 takes a free port."""
        host = Host(self, name, spec or HostSpec(), f"{self.seed}/{len(self.hosts)}", bind)
        await host.start(cold=cold)
        self.hosts[host.id] = host
        return host

    def sweep(self):
        """Unloads idle copies and forgets idempotency keys older than a minute, each second."""
        for host in self.hosts.values():
            if host.up:
                host.unload_idle_copies()
        oldest_ms = now() - 60000
        self.idempotency_keys = {k: v for k, v in self.idempotency_keys.items() if v > oldest_ms}
        self.loop.call_later(1.0, self.sweep)

    def facts(self, function):
        return self.catalogue(function)

    def mean_work(self, function):
        """Returns the mean work of a run, in ms of CPU time."""
        return self.catalogue(function).work

    def key_group(self, host, launch):
        """Returns the group of hosts that shares the idempotency key; None if not keyed."""
        scope = self.scopes.get(launch.request_class) if launch.idempotency_key else None
        return (
            scope
            and {
                "all": "",
                "zone": host.spec.zone,
                "cell": f"{host.spec.zone}/{host.spec.cell}",
            }[scope]
        )

    scopes: dict = {}

    def is_new(self, host, launch):
        """Returns False if the group remembers the idempotency key; the run then has no effect."""
        group = self.key_group(host, launch)
        if group is None:
            return True
        seen_at_ms = self.idempotency_keys.get((group, launch.idempotency_key))
        return seen_at_ms is None or now() - seen_at_ms > host.spec.remember

    def record_effect(self, host, launch):
        """Remembers the idempotency key; returns whether this run has an effect."""
        first, group = self.is_new(host, launch), self.key_group(host, launch)
        if first and group is not None:
            self.idempotency_keys[group, launch.idempotency_key] = now()
        return first
