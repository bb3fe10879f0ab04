"""Examples of these pages run by `make test`, each against real code: a page that lies is red.

`lease` blocks are read as parts of a lease; `sh` blocks are run, line by line, in a folder with a gateway that has
fellows, and each has to end with 0; `python` blocks are executed.
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
BASE = """
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


class Place:
    """A folder with three gateways that know of each other, started when an example first needs one."""

    def __init__(self):
        self.folder, self.parts = Path(tempfile.mkdtemp()), []
        (self.folder / "keys").mkdir()
        (self.folder / "door.lease").write_text(BASE % 9)

    def run(self, *words):
        return subprocess.run(
            [sys.executable, "-m", "cherrydoor", *words],
            cwd=self.folder,
            capture_output=True,
            text=True,
            timeout=60,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )

    def ports(self, count):
        held = [socket.socket() for _ in range(count)]
        for one in held:
            one.bind(("127.0.0.1", 0))
        found = [one.getsockname()[1] for one in held]
        for one in held:
            one.close()
        return found

    def gateways(self):
        """Up, and g0 holding the task TASK, as the pages have it."""
        if self.parts:
            return
        ports = self.ports(3)
        keepers = ", ".join(
            f'{{name: "g{i}", at: "127.0.0.1:{port}"}}' for i, port in enumerate(ports)
        )
        for i, port in enumerate(ports):
            path = self.folder / f"g{i}.lease"
            path.write_text(
                BASE.replace('"g0"', f'"g{i}"').replace("number: 0", f"number: {i}") % 9
                + f"""
peers: {{door: "127.0.0.1:{port}", keepers: [{keepers}], control: "g{i}.sock"}}
tenures: {{promises: "g{i}.promises", term: 500ms, margin: 20ms, longest: 500ms}}
"""
            )
            self.parts.append(
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
        for part in self.parts:
            part.stdout.readline()
        end = time.monotonic() + 30
        while '"TASK"' not in (held := asyncio.run(self.ask())) and time.monotonic() < end:
            time.sleep(0.05)
        assert '"held": [{"task": "TASK"' in held, held

    async def ask(self):
        here = Path.cwd()
        os.chdir(self.folder)  # a socket's path is short
        try:
            reader, writer = await asyncio.open_unix_connection("g0.sock")
        finally:
            os.chdir(here)
        writer.write(b'{"do": "hold", "task": "TASK"}\n{"do": "tenures"}\n')
        await reader.readline()
        found = (await reader.readline()).decode()
        writer.close()
        return found if '"held": [{"task"' in found else ""

    def close(self):
        for part in self.parts:
            part.kill()
            part.wait()


def lease(example):
    """A whole lease, or a part of one that agrees with all else."""
    text = example.parsed if "clauses:" in example.parsed else BASE % 9 + example.parsed
    problems = problems_of(read(text, example.path, schema("lease.schema"), "#Lease"), example.path)
    assert not problems, "\n".join(map(str, problems))


def shell(example):
    place = example.namespace["place"]
    for line in example.parsed.splitlines():
        words = shlex.split(line, comments=True)
        if not words:
            continue
        assert words[0] == "cherrydoor", f"{words[0]} is not run here"
        if "--control" in words:
            place.gateways()
        done = place.run(*words[1:])
        assert done.returncode == 0, f"{line}: {done.returncode}\n{done.stdout}{done.stderr}"


def setup(namespace):
    namespace["place"] = Place()


def teardown(namespace):
    namespace["place"].close()


pytest_collect_file = Sybil(
    parsers=[
        CodeBlockParser("lease", lease),
        CodeBlockParser("sh", shell),
        PythonCodeBlockParser(),
    ],
    patterns=["*.md"],
    setup=setup,
    teardown=teardown,
).pytest()
