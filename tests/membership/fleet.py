"""A fleet of `cherrydoor gateway` processes with a relay of ours on every link between them."""

import asyncio
import json
import os
import signal
import sys
import time

from cherrydoor.config import show
from cherrydoor.config.records import Duration
from cherrydoor.rehearsal.fault_injecting_proxy import Relay
from cherrydoor.rehearsal.parts import Ports

LONGEST = 20.0  # s that any story may wait for what must come


class Gate:
    """One gateway: its lease, its process, what it logs."""

    def __init__(self, fleet, number, more):
        self.fleet, self.number, self.name, self.more = fleet, number, f"g{number}", more
        self.process, self.lines, self.folder, self.up = None, [], fleet.folder, 0
        self.door, self.real = fleet.ports.take(), fleet.ports.take()
        self.control = str(fleet.folder / f"{self.name}.sock")

    def lease(self):
        fleet = self.fleet
        keepers = [{"name": g.name, "at": g.at} for g in fleet.gates[: fleet.keepers]]
        said = {
            "name": self.name,
            "number": self.number,
            "gateways": len(fleet.gates),
            "seed": 7 + self.number,
            "zone": f"floor-{self.number % 3}",
            "door": self.door,
            "list": fleet.list_at,
            "clauses": [
                {"name": "draft", "target": Duration(800.0), "max_age": Duration(3000.0)},
                {
                    "name": "sign",
                    "target": Duration(800.0),
                    "max_age": Duration(3000.0),
                    "kind": "keyed",
                    "memory": Duration(5000.0),
                },
                {
                    "name": "file",
                    "target": Duration(800.0),
                    "max_age": Duration(4000.0),
                    "kind": "at-most-once",
                },
            ],
            "may": {"launches": 3, "recall": True, "order": True},
            "cold": {},
            "ration": {},
            "bounds": {},
            "peers": {
                "door": self.real,
                "at": self.at,
                "keepers": keepers,
                "next": 2,
                "control": self.control,
                "beat": Duration(100.0),
                "silent": Duration(700.0),
                **fleet.peers,
            },
            "tenures": {
                "promises": str(self.folder / f"{self.name}.promises"),
                "term": Duration(800.0),
                "margin": Duration(50.0),
                "longest": Duration(1000.0),
            },
            **self.more,
        }
        path = self.folder / f"{self.name}.lease"
        path.write_text(show(said) + "\n")
        return path

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cherrydoor",
            "gateway",
            "--lease",
            str(self.lease()),
            "--announce",
            "--tied",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": os.getcwd()},
        )
        self.task = asyncio.ensure_future(self.listen())
        assert await asyncio.wait_for(self.process.stdout.readline(), LONGEST), self.lines
        return self

    async def listen(self):
        async for line in self.process.stderr:
            self.lines.append(line.decode())

    def logged(self, text):
        return [line for line in self.lines if text in line]

    def signal(self, number):
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def ask(self, **said):
        """An answer over its control socket; None where nobody answers."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_unix_connection(self.control), 1.0)
            writer.write(json.dumps(said).encode() + b"\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return json.loads(line) if line else None
        except (OSError, TimeoutError):
            return None

    async def sees(self):
        """name -> state"""
        said = await self.ask(do="peers")
        return {row["name"]: row["state"] for row in said["members"]} if said else {}

    async def held(self, task):
        """The number under which it holds the task, or None."""
        said = await self.ask(do="tenures")
        return (
            next(
                (row["number"] for row in said["held"] if row["task"] == task and row["left"] > 0),
                None,
            )
            if said
            else None
        )


class Fleet:
    def __init__(self, folder, count, keepers=3, list_at="127.0.0.1:9", peers=None, more=None):
        self.folder, self.keepers, self.list_at, self.peers = folder, keepers, list_at, peers or {}
        self.ports, self.relay = Ports(os.getpid()), Relay(5)
        self.gates = [Gate(self, number, more or {}) for number in range(count)]

    async def __aenter__(self):
        for gate in self.gates:
            gate.at = await self.relay.port(gate.name, gate.real)
        await asyncio.gather(*(gate.start() for gate in self.gates))
        return self

    async def __aexit__(self, *_):
        for gate in self.gates:
            if gate.process and gate.process.returncode is None:
                gate.signal(signal.SIGCONT)
                gate.signal(signal.SIGKILL)
                await gate.process.wait()
        for server in self.relay.servers:
            server.close()
        for one in asyncio.all_tasks() - {asyncio.current_task()}:
            one.cancel()

    async def together(self):
        """Until each sees all others."""
        for gate in self.gates:
            await until(
                lambda gate=gate: gate.sees(),
                lambda seen: list(seen.values()) == ["here"] * len(self.gates),
            )
        return self.gates

    async def holder(self, task, above=0, among=None):
        """(gateway, number) once one of them holds the task under a number above that."""
        found = []

        async def look():
            found[:] = [
                (gate, number)
                for gate in among or self.gates
                if gate.process.returncode is None
                and (number := await gate.held(task) or 0) > above
            ]
            return found

        await until(look, bool)
        return found[0]


async def until(ask, good):
    """Asks again and again until the answer is good; what it was last is told where that never comes."""
    end, last = time.monotonic() + LONGEST, None
    while time.monotonic() < end:
        last = await ask()
        if good(last):
            return last
        await asyncio.sleep(0.03)
    raise AssertionError(f"never came: {last}")


def story(test):
    """A test that is a coroutine, given a folder."""

    def run(tmp_path):
        asyncio.run(test(tmp_path))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run
