"""Many hosts in a process of their own, so that no process of a case needs many descriptors.

Commands come as lines on standard input, results and the record go as lines to standard output:

    open NAME [NAME ...]     listen on a free port each; the answer is `ports PORT [PORT ...]`
    replace OLD NEW          OLD ends, NEW starts at its address; the answer is `replaced NEW`
"""

import asyncio
import sys

from stands.hosts import Host


class Lines:
    """A record that goes to the parent as lines."""

    def write(self, who, what):
        """Passes one line on."""
        print(f"record {who} {what}", flush=True)
        return 0.0


class HostProcess:
    """The parent's end: starts the process, opens its hosts and replaces them."""

    def __init__(self, record):
        self.record, self.process, self.answers = record, None, asyncio.Queue()
        self.replaced = {}

    async def start(self, names):
        """Starts the process with these hosts; returns their ports."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "stands.host_process",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.reading = asyncio.ensure_future(self.read())
        self.process.stdin.write(f"open {' '.join(names)}\n".encode())
        return list(map(int, await self.answers.get()))

    async def read(self):
        """Reads the lines of the process until it ends."""
        while line := await self.process.stdout.readline():
            word, *rest = line.decode().rstrip("\n").split(" ")
            if word == "record":
                self.record.write(rest[0], " ".join(rest[1:]))
            elif word == "ports":
                self.answers.put_nowait(rest)
            elif word == "replaced":
                self.replaced.pop(rest[0]).set_result(True)

    async def replace(self, old, new):
        """Ends a host and starts another at its address."""
        self.replaced[new] = asyncio.get_running_loop().create_future()
        self.process.stdin.write(f"replace {old} {new}\n".encode())
        await self.replaced[new]

    def end(self):
        """Ends the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


async def serve():
    """Serves the hosts of this process until standard input ends."""
    loop, record, hosts = asyncio.get_running_loop(), Lines(), {}
    loop.set_exception_handler(lambda loop, context: None)
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        word, *names = line.decode().split()
        if word == "open":
            for name in names:
                hosts[name] = await Host(name, record).open()
            print("ports", *(hosts[name].port for name in names), flush=True)
        elif word == "replace":
            old, new = names
            port = hosts[old].port
            hosts.pop(old).reset()
            hosts[new] = await Host(new, record).open(port)
            print("replaced", new, flush=True)
    for host in hosts.values():
        host.reset()


if __name__ == "__main__":
    asyncio.run(serve())
