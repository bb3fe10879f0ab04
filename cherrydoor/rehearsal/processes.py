"""One part of a rehearsal as a process of its own, and ports for them."""

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import sys
from functools import partial


class RunFailedError(RuntimeError):
    """The run could not be made; says why."""


class ManagedProcess:
    """One process, in a group of its own. Its standard input is held open: when we die, it ends."""

    def __init__(self, name, log_file):
        self.name, self.log_file, self.process, self.waiting, self.tags = (
            name,
            log_file,
            None,
            {},
            0,
        )
        self.said = asyncio.Queue()

    async def start(self, *words, given=None, descriptors=0):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cherrydoor",
            *words,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=self.log_file,
            start_new_session=True,
            limit=2**24,
            preexec_fn=partial(resource.setrlimit, resource.RLIMIT_NOFILE, (descriptors,) * 2)
            if descriptors
            else None,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(p for p in sys.path if p)},
        )
        if given is not None:
            self.process.stdin.write(json.dumps(given).encode() + b"\n")
        self.task = asyncio.get_running_loop().create_task(self.listen())
        return self

    async def listen(self):
        while line := await self.process.stdout.readline():
            said = json.loads(line)
            future = self.waiting.pop(said.get("of"), None) if said["is"] == "done" else None
            if future:
                future.set_result(said["result"])
            elif said["is"] != "done":
                self.said.put_nowait(said)
        code = await self.process.wait()
        self.said.put_nowait({"is": "ended", "code": code})
        for future in self.waiting.values():
            future.set_exception(RunFailedError(f"{self.name} ended with {code}"))

    async def until(self, what, wait=60.0):
        """The next thing of that kind that it says; RunFailedError where it says none in time or ends."""
        try:
            while True:
                said = await asyncio.wait_for(self.said.get(), wait)
                if said["is"] == what:
                    return said
                if said["is"] in ("ended", "wrong"):
                    raise RunFailedError(f"{self.name}: {said}; see {self.log_file.name}")
        except TimeoutError:
            raise RunFailedError(f"{self.name} says no {what!r} within {wait:g} s") from None

    def command(self, do, **values):
        """A command; the future gives its result."""
        self.tags += 1
        future = self.waiting[self.tags] = asyncio.get_running_loop().create_future()
        self.process.stdin.write(
            json.dumps({"do": do, "tag": self.tags, **values}).encode() + b"\n"
        )
        return future

    def signal(self, number):
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):  # it ended a moment ago
                os.killpg(self.process.pid, number)

    async def end(self, wait=5.0):
        """Lets it end by itself, then makes it."""
        if self.process is None:
            return None
        self.process.stdin.close()
        try:
            return await asyncio.wait_for(self.process.wait(), wait)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            return await self.process.wait()


class Ports:
    """Ports that no outgoing connection is given by chance, so that a part can come back on its own after a crash."""

    def __init__(self, seed):
        self.next = 12000 + (os.getpid() * 97 + seed) % 15000

    def take(self):
        """A free one as an address; RunFailedError where there is none."""
        for _ in range(18000):
            self.next = 12000 + (self.next - 11999) % 18000
            with socket.socket() as one:
                try:
                    one.bind(("127.0.0.1", self.next))
                except OSError:
                    continue
            return f"127.0.0.1:{self.next}"
        raise RunFailedError("no port from 12000 to 30000 is free")
