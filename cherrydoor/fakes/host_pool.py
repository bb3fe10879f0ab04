"""All hosts of one process, and their connection to the program store."""

import asyncio

from cherrydoor.fakes.copies import HostSpec
from cherrydoor.fakes.host import Host
from cherrydoor.fakes.record import now
from cherrydoor.protocol import messages as protocol


class StoreConnection:
    """The farm's connection to the program store; what is asked for twice at once is fetched twice, as by hosts."""

    def __init__(self, host_pool):
        self.host_pool, self.end, self.calls, self.ids = host_pool, None, {}, 0

    def fetch(self, function, then):
        self.ids += 1
        if self.end is None:
            self.host_pool.loop.call_later(0.05, then, protocol.FetchResult(0, "error"))
            return
        self.calls[self.ids] = then
        self.end.write(protocol.FetchFunction(self.ids, function))

    def hello_received(self, end, hello):
        self.end = end

    def message_received(self, end, message):
        then = self.calls.pop(message.id, None)
        if then:
            then(message)

    def connection_ended(self, end):
        self.end, calls, self.calls = None, self.calls, {}
        for then in calls.values():
            then(protocol.FetchResult(0, "error"))


class HostPool:
    """All hosts of one process, and what they share only as a model: marks of keyed events by group, and releases."""

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
        self.faulty_versions = {}  # version -> what is wrong with it: parts fail, crash, load_fail; times slow

    async def add(self, name="127.0.0.1:0", spec=None, cold=False, bind=""):
        host = Host(self, name, spec or HostSpec(), f"{self.seed}/{len(self.hosts)}", bind)
        await host.start(cold=cold)
        self.hosts[host.id] = host
        return host

    def sweep(self):
        for host in self.hosts.values():
            if host.up:
                host.sweep()
        old = now() - 60000
        self.idempotency_keys = {k: v for k, v in self.idempotency_keys.items() if v > old}
        self.loop.call_later(1.0, self.sweep)

    def facts(self, function):
        return self.catalogue(function)

    def mean_work(self, function):
        return self.catalogue(function).work

    def group(self, host, launch):
        scope = self.scopes.get(launch.request_class) if launch.idempotency_key else None
        return (
            scope
            and {
                "all": "",
                "zone": host.spec.zone,
                "cell": f"{host.spec.zone}/{host.spec.cell}",
            }[scope]
        )

    scopes: dict = {}  # keyed clause -> all, zone or cell

    def is_new(self, host, launch):
        """False where the group remembers the mark: then no effect happens."""
        group = self.group(host, launch)
        if group is None:
            return True
        at = self.idempotency_keys.get((group, launch.idempotency_key))
        return at is None or now() - at > host.spec.remember

    def record_effect(self, host, launch):
        """Notes the mark; True if this run has an effect."""
        first, group = self.is_new(host, launch), self.group(host, launch)
        if first and group is not None:
            self.idempotency_keys[group, launch.idempotency_key] = now()
        return first
