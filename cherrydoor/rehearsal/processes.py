"""Child processes that play the parts of a rehearsal, and the ports that they listen on."""

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
    """The scenario could not be played; the message states the reason."""


class ManagedProcess:
    """A child process in its own process group, commanded with JSON lines.

    The child reads commands from its standard input and writes messages to its standard output.
    Its standard input stays open as long as this process lives, so the child exits when this
    process dies.
    """

    def __init__(self, name, log_file):
        self.name, self.log_file, self.process, self.pending_results, self.last_tag = (
            name,
            log_file,
            None,
            {},
            0,
        )
        self.messages = asyncio.Queue()

    async def start(self, *arguments, settings=None, descriptors=0):
        """Starts `python -m cherrydoor` with the arguments.

        `settings` are sent as the first line of its standard input; `descriptors` limits its open
        files, 0 leaves the limit as it is.
        """
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cherrydoor",
            *arguments,
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
        if settings is not None:
            self.process.stdin.write(json.dumps(settings).encode() + b"\n")
        self.task = asyncio.get_running_loop().create_task(self.read_messages())
        return self

    async def read_messages(self):
        while line := await self.process.stdout.readline():
            message = json.loads(line)
            future = (
                self.pending_results.pop(message.get("of"), None)
                if message["is"] == "done"
                else None
            )
            if future:
                future.set_result(message["result"])
            elif message["is"] != "done":
                self.messages.put_nowait(message)
        code = await self.process.wait()
        self.messages.put_nowait({"is": "ended", "code": code})
        for future in self.pending_results.values():
            future.set_exception(RunFailedError(f"{self.name} exited with {code}"))

    async def wait_for_message(self, kind, timeout_s=60.0):
        """Returns the next message of that kind and discards the messages before it.

        Raises RunFailedError if the process sends none in time, reports an error or exits.
        """
        try:
            while True:
                message = await asyncio.wait_for(self.messages.get(), timeout_s)
                if message["is"] == kind:
                    return message
                if message["is"] in ("ended", "wrong"):
                    raise RunFailedError(f"{self.name}: {message}; see {self.log_file.name}")
        except TimeoutError:
            raise RunFailedError(
                f"{self.name} sent no {kind!r} message within {timeout_s:g} s"
            ) from None

    def command(self, command_name, **values):
        """Sends a command; returns a future of its result."""
        self.last_tag += 1
        future = self.pending_results[self.last_tag] = asyncio.get_running_loop().create_future()
        self.process.stdin.write(
            json.dumps({"do": command_name, "tag": self.last_tag, **values}).encode() + b"\n"
        )
        return future

    def signal(self, signal_number):
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):  # the process has just exited
                os.killpg(self.process.pid, signal_number)

    async def stop(self, timeout_s=5.0):
        """Asks the process to exit by closing its standard input; kills it after `timeout_s`.

        Returns the exit code, or None if the process was never started.
        """
        if self.process is None:
            return None
        self.process.stdin.close()
        try:
            return await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            return await self.process.wait()


class Ports:
    """Listening ports from 12000 to 29999.

    They lie below the ports that Linux by default assigns to outgoing connections, so a process
    that crashed can listen on its old port again.
    """

    def __init__(self, seed):
        self.next_port = 12000 + (os.getpid() * 97 + seed) % 15000

    def take(self):
        """Returns the address of a free port; raises RunFailedError if there is none."""
        for _ in range(18000):
            self.next_port = 12000 + (self.next_port - 11999) % 18000
            with socket.socket() as candidate:
                try:
                    candidate.bind(("127.0.0.1", self.next_port))
                except OSError:
                    continue
            return f"127.0.0.1:{self.next_port}"
        raise RunFailedError("no port from 12000 to 30000 is free")
