"""What entrusting costs the gateway that does it: `python -m bench.custody`.

One gateway of three serves the same events alone, with fellows and no witness, and with two witnesses, in turn and
several times over. CPU is that process's own; times are the client's, in an open loop at a fixed rate.
"""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import numpy as np
import uvloop

from bench.gateway import Answering, Listed
from cherrydoor.connection import FramedConnection
from cherrydoor.protocol import messages as protocol
from cherrydoor.rehearsal.parts import Ports

RATE, SECONDS, ROUNDS, HOSTS = 500, 8, 3, 8
LEASE = """
name: "g%(number)d", number: %(number)d, gateways: 3, list: "%(list)s", door: "%(door)s"
clauses: [{name: "draft", target: 750ms, max_age: 2.5s}]
cold: {}, ration: {}, bounds: {}
may: {launches: 3, recall: true, probe: true, order: true, advice: 1s}
%(peers)s
"""
PEERS = """
peers: {door: "%(at)s", next: %(next)d, keepers: [%(keepers)s]}
tenures: {promises: "%(folder)s/g%(number)d.promises"}
"""


def now():
    return time.monotonic() * 1000


def used(process):
    """(CPU ms, bytes written) of a process so far."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return 1000 * (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Client:
    def __init__(self):
        self.sent, self.took, self.end = {}, [], None

    def greeted(self, end, hello):
        self.end = end

    def heard(self, end, message):
        if type(message) is protocol.Response:
            self.took.append(now() - self.sent.pop(message.id))

    def lost(self, end):
        pass


async def serve(next_, folder, body):
    """(CPU us an event, p50, p99) of the first gateway; next_ None: alone."""
    loop, ports, rows = asyncio.get_running_loop(), Ports(os.getpid() + (next_ or 0)), []
    servers = []
    for _ in range(HOSTS):
        answering = Answering(5.0)
        server = await loop.create_server(
            lambda a=answering: FramedConnection(
                a, protocol.TO_HOST, lambda: protocol.Hello(protocol.VERSION, "host", "h", now())
            ),
            "127.0.0.1",
            0,
        )
        servers.append(server)
        rows.append(
            protocol.Endpoint(
                f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "ready", 0.0, "z", 0
            )
        )
    listed = Listed(rows)
    server = await loop.create_server(
        lambda: FramedConnection(
            listed, protocol.TO_LIST, lambda: protocol.Hello(protocol.VERSION, "list", "l", now())
        ),
        "127.0.0.1",
        0,
    )
    servers.append(server)
    listing = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    doors, ats = [ports.take() for _ in range(3)], [ports.take() for _ in range(3)]
    keepers, processes = ", ".join(f'{{name: "g{i}", at: "{at}"}}' for i, at in enumerate(ats)), []
    for number in range(3):
        peers = (
            ""
            if next_ is None
            else PEERS
            % {
                "at": ats[number],
                "next": next_,
                "keepers": keepers,
                "folder": folder,
                "number": number,
            }
        )
        path = Path(folder) / f"{next_}-{number}.lease"
        path.write_text(
            LEASE % {"number": number, "list": listing, "door": doors[number], "peers": peers}
        )
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "cherrydoor",
                "--log-level",
                "error",
                "gateway",
                "--lease",
                str(path),
                "--announce",
                "--tied",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        processes.append(process)
    for process in processes:
        await loop.run_in_executor(None, process.stdout.readline)
    client, host = Client(), doors[0].rpartition(":")
    await loop.create_connection(
        lambda: FramedConnection(
            client,
            protocol.TO_CLIENT,
            lambda: protocol.Hello(protocol.VERSION, "client", "c", now()),
        ),
        host[0],
        int(host[2]),
    )
    await asyncio.sleep(1.5)  # links stand and the list is known
    number = 0

    async def load(seconds):
        nonlocal number
        begun = now()
        while now() - begun < 1000 * seconds:
            while number < RATE * (now() - begun) / 1000 + client.base:
                number += 1
                client.sent[number] = now()
                client.end.write(
                    protocol.Request(
                        number,
                        "draft",
                        f"deed-{number % 40}",
                        2500.0,
                        now(),
                        claim_key=f"{number:032d}",
                        body=body,
                    )
                )
            await asyncio.sleep(0.002)
        return begun

    client.base = 0
    await load(1.0)
    client.base, client.took, before = number, [], used(processes[0].pid)
    await load(SECONDS)
    spent, count = used(processes[0].pid) - before, len(client.took)
    for process in processes:
        process.kill()
        process.wait()
    for server in servers:
        server.close()
    return (
        1000 * spent / count,
        float(np.percentile(client.took, 50)),
        float(np.percentile(client.took, 99)),
        count,
    )


def main():
    for size in (200, 4096):
        for _ in range(ROUNDS):
            for next_ in (None, 0, 2):
                with tempfile.TemporaryDirectory() as folder:
                    cost, p50, p99, count = uvloop.run(serve(next_, folder, b"x" * size))
                name = "alone" if next_ is None else f"{next_} witnesses"
                print(
                    json.dumps(
                        {
                            "body": size,
                            "who": name,
                            "us an event": round(cost),
                            "p50 ms": round(p50, 2),
                            "p99 ms": round(p99, 2),
                            "events": count,
                        }
                    ),
                    flush=True,
                )


if __name__ == "__main__":
    main()
