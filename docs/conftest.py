"""Examples of these pages run by `make test`, each against real code: a page with a wrong
example fails.

`lease` blocks are read as parts of a configuration; `sh` blocks are run, line by line, in a
folder with a gateway that has peers, and each has to end with 0; `python` blocks are executed.
"""

import asyncio
import os
import shlex
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from sybil import Sybil
from sybil.parsers.markdown import CodeBlockParser, PythonCodeBlockParser

from cherrydoor.config.figures import problems_of, schema
from cherrydoor.config.records import read

ROOT = Path(__file__).resolve().parent.parent
BASE_CONFIGURATION = """
name: "g0"
number: 0
gateways: 3
list: "127.0.0.1:%d"
clauses: [{name: "draft", target: 1s, max_age: 3s}, {name: "file", target: 1s, max_age: 4s, kind: "at-most-once"}]
cold: {}
ration: {}
may: {order: true}
bounds: {}
"""


class ExampleFolder:
    """A folder with three gateways that are peers, started when an example first needs one."""

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp())
        self.processes = []
        (self.folder / "keys").mkdir()
        (self.folder / "door.lease").write_text(BASE_CONFIGURATION % 9)

    def run(self, *arguments):
        """Runs a command of the program in the folder."""
        return subprocess.run(
            [sys.executable, "-m", "cherrydoor", *arguments],
            cwd=self.folder,
            capture_output=True,
            text=True,
            timeout=60,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )

    def free_ports(self, count):
        """Returns ports of loopback that were free a moment ago, each another."""
        sockets = [socket.socket() for _ in range(count)]
        for bound in sockets:
            bound.bind(("127.0.0.1", 0))
        ports = [bound.getsockname()[1] for bound in sockets]
        for bound in sockets:
            bound.close()
        return ports

    def start_gateways(self):
        """Starts the gateways and waits until g0 holds the lease of the task TASK, as the pages have it."""
        if self.processes:
            return
        ports = self.free_ports(3)
        voters = ", ".join(
            f'{{name: "g{i}", at: "127.0.0.1:{port}"}}' for i, port in enumerate(ports)
        )
        for i, port in enumerate(ports):
            path = self.folder / f"g{i}.lease"
            path.write_text(
                BASE_CONFIGURATION.replace('"g0"', f'"g{i}"').replace("number: 0", f"number: {i}")
                % 9
                + f"""
peers: {{door: "127.0.0.1:{port}", keepers: [{voters}], control: "g{i}.sock"}}
tenures: {{promises: "g{i}.promises", term: 500ms, margin: 20ms, longest: 500ms}}
"""
            )
            self.processes.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "cherrydoor",
                        "gateway",
                        "--lease",
                        str(path),
                        "--tied",
                        "--announce",
                    ],
                    cwd=self.folder,
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    stderr=subprocess.DEVNULL,
                    env=os.environ | {"PYTHONPATH": str(ROOT)},
                )
            )
        for process in self.processes:
            process.stdout.readline()
        deadline_s = time.monotonic() + 30
        while (
            '"TASK"' not in (leases := asyncio.run(self.leases())) and time.monotonic() < deadline_s
        ):
            time.sleep(0.05)
        assert '"held": [{"task": "TASK"' in leases, leases

    async def leases(self):
        """Has g0 request the lease and returns its leases as JSON; "" while it holds none."""
        working_directory = Path.cwd()
        os.chdir(self.folder)  # a socket's path is short
        try:
            reader, writer = await asyncio.open_unix_connection("g0.sock")
        finally:
            os.chdir(working_directory)
        writer.write(b'{"do": "hold", "task": "TASK"}\n{"do": "tenures"}\n')
        await reader.readline()
        leases = (await reader.readline()).decode()
        writer.close()
        return leases if '"held": [{"task"' in leases else ""

    def close(self):
        """Ends the gateways."""
        for process in self.processes:
            process.kill()
            process.wait()


def check_configuration(example):
    """Checks a whole configuration, or a part of one that is valid with all else."""
    text = (
        example.parsed if "clauses:" in example.parsed else BASE_CONFIGURATION % 9 + example.parsed
    )
    problems = problems_of(
        read(text, example.path, schema("gateway.schema"), "#Lease"), example.path
    )
    assert not problems, "\n".join(map(str, problems))


def run_commands(example):
    """Runs each line of a block; each command has to end with 0."""
    folder = example.namespace["folder"]
    for line in example.parsed.splitlines():
        arguments = shlex.split(line, comments=True)
        if not arguments:
            continue
        assert arguments[0] == "cherrydoor", f"{arguments[0]} is not run here"
        if "--control" in arguments:
            folder.start_gateways()
        done = folder.run(*arguments[1:])
        assert done.returncode == 0, f"{line}: {done.returncode}\n{done.stdout}{done.stderr}"


def setup(namespace):
    """Gives each page a folder of its own."""
    namespace["folder"] = ExampleFolder()


def teardown(namespace):
    """Ends what the page's examples started."""
    namespace["folder"].close()


pytest_collect_file = Sybil(
    parsers=[
        CodeBlockParser("lease", check_configuration),
        CodeBlockParser("sh", run_commands),
        PythonCodeBlockParser(),
    ],
    patterns=["*.md"],
    setup=setup,
    teardown=teardown,
).pytest()
