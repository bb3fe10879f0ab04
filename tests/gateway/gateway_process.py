"""`cherrydoor gateway` in a separate process, with hosts and an endpoint list run by the test."""

import asyncio
import json
import sys
from functools import wraps

from stack import LEASE, EndpointListServer, environment, with_stack

from cherrydoor.protocol import messages as protocol


class GatewayProcess:
    """A gateway process.

    `port` is the port of its client listener, None if it did not start. `errors` is a list of log
    lines for tests that collect them.
    """

    def __init__(self, process, errors=None):
        self.process = process
        self.errors = [] if errors is None else errors
        self.port = None

    @classmethod
    async def start(cls, stack, configuration):
        """Starts the process and waits until clients can connect, or until it has ended."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cherrydoor",
            "gateway",
            "--lease",
            str(configuration),
            "--announce",
            "--tied",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=environment(),
        )
        stack.opened.append(KilledAtEnd(process))
        gateway = cls(process)
        line = await process.stdout.readline()
        if line:
            gateway.port = json.loads(line)["port"]
        return gateway

    async def end(self):
        """Waits for the process to end; returns its exit code and the rest of its log."""
        _, errors = await self.process.communicate()
        return self.process.returncode, errors.decode()

    async def wait_for_log(self, text):
        """Waits for a log line that contains this text."""
        while text not in (line := (await self.process.stderr.readline()).decode()):
            assert line, f"the process ended before it logged {text!r}"


class KilledAtEnd:
    """Entry of `Stack.opened` that kills a process, so that a failed test leaves none running."""

    server = None

    def __init__(self, process):
        self.process = process

    @property
    def connections(self):
        """Kills the process if it still runs; returns no connections, as it has none to close."""
        if self.process.returncode is None:
            self.process.kill()
        return ()


async def configuration_file(stack, folder, *hosts, more="", port=0):
    """Starts an endpoint list and hosts; returns the configuration file of a gateway for them."""
    stack.list = await EndpointListServer().start()
    stack.opened.append(stack.list)
    for host in hosts:
        await stack.host(host, listed=False)
    stack.list.rows = {host.id: protocol.Endpoint(host.id, "ready", 0.0, "z", 0) for host in hosts}
    path = folder / "g.lease"
    path.write_text(
        LEASE % stack.list.port + f'saved: "{folder}/saved"\ndoor: "127.0.0.1:{port}"\n'
        "may: {launches: 3, recall: true, probe: true, advice: 1s}\ncold: {}\nration: {}\n"
        + (more or "bounds: {}")
    )
    return path


def with_folder(test):
    """Runs an async test with a stack and a temporary folder (see `stack.with_stack`)."""

    @wraps(test)
    def run(tmp_path):
        with_stack(lambda stack: test(stack, tmp_path))()

    del run.__wrapped__  # otherwise pytest would look for the wrapped test's fixtures
    return run
