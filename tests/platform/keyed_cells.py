"""Hosts of cells that drop repeated keys, and a host that is replaced at its address."""

import asyncio

from platform_harness import SETTINGS

KEYED_SETTINGS = SETTINGS | {
    "requestClasses": [
        {
            "name": "booking",
            "aim": 1200000,
            "deadline": 3000000,
            "repeat": "by_key",
            "dedupScope": "cell",
            "dedupWindow": 6000000,
        }
    ],
}
# The gateway shares the process of all tests, whose descriptors and memory count for its limits.
LIMITS_OF_TEST_PROCESS = {"cores": 1.0, "memory_mb": 4096, "sockets": 1024}
FUNCTIONS = [f"{number * 104729 + 1:016x}" for number in range(24)]


class Cells:
    """Hosts that run a request once for each idempotency key in their cell.

    Attributes:
        runs: Names of the hosts that ran a key, by key.
        resetting: Names of the hosts that reset the connection under what they have run.
    """

    def __init__(self, harness, cells):
        self.harness, self.cells = harness, cells
        self.runs, self.resetting = {}, set()

    async def start(self):
        """Starts a gateway with the hosts "bad" and "old" of one cell; returns its service."""
        await self.harness.prepare(("bad", "old"))
        first = self.update(1, True, bad="in_service", old="in_service")
        service = await self.harness.serve_in_process(
            settings=KEYED_SETTINGS,
            known={"no": 1, "items": [first]},
            limits=LIMITS_OF_TEST_PROCESS,
        )
        for host in self.harness.hosts:
            self.attach(host)
        return service

    def attach(self, host):
        """Lets a host answer as a member of its cell."""

        def answers(words):
            if words[0] != b"exec":
                return type(host).handles(host, words)
            fields = dict(pair.split(b"=", 1) for pair in words[2].split(b","))
            ran = self.runs.setdefault(fields[b"nonce"], [])
            if self.cells[host.name] not in [self.cells[name] for name in ran]:
                ran.append(host.name)
            if host.name in self.resetting:
                host.writers[host.received[-1][0]].transport.abort()
                return None
            return type(host).handles(host, words)

        host.answers = answers

    def update(self, revision, snapshot=False, **states):
        """Returns a discovery update in which each host has its cell."""
        update = self.harness.update(revision, snapshot, **states)
        for row in update["roster"]["instances"]:
            row["cell"] = self.cells[row["instanceId"]]
        return update

    def ran_first_at(self, name):
        """Returns the number of keys that this host was the first to run."""
        return sum(names[0] == name for names in self.runs.values())

    def applied_twice(self):
        """Returns the keys that hosts of two cells have run."""
        return [key for key, names in self.runs.items() if len(names) > 1]


async def send_keyed(harness, prefix):
    """Sends a request with a key of its own to each function, one after another."""
    client = await harness.client()
    for number, function in enumerate(FUNCTIONS):
        header = f"X-Dedupe-Key: {prefix}-{number}"
        client.call(function=function, request_class="booking", extra_headers=[header])
        assert await client.answer() is not None, f"no answer to {prefix}-{number}"
    client.writer.close()


async def replace_host(harness, name, successor):
    """Ends a host, and starts its successor at the same address."""
    old = next(host for host in harness.hosts if host.name == name)
    old.server.close()
    for writer in old.writers:
        writer.transport.abort()
    new = await harness.host(successor)
    new.server.close()
    new.port = old.port
    new.server = await asyncio.start_server(new.serve, "127.0.0.1", old.port)
    return new
