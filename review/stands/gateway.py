"""One gateway, started by the deploy file's `run` command as a process of its own."""

import asyncio
import copy
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib

from stands.clients import ask
from stands.ports import free_port

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS = {
    "instances": 1,
    "me": 0,
    "zone": "east",
    "resolution": 1000,
    "discovery": "push",
    "requestClasses": [
        {"name": "draft", "aim": 600000, "deadline": 3000000, "repeat": "repeatable"}
    ],
    "tenants": [{"name": "acme", "portion": 1.0, "quotaPerS": 200.0}],
    "permissions": {
        "cancel": True,
        "mayProbe": True,
        "maxAttempts": 3,
        "retryAfter": True,
        "maxRetryAfter": 1000000,
        "connIdle": 15000000,
        "connectTimeout": 250000,
        "mostHeld": 20000,
    },
    "prices": {},
    "rules": {
        "coldFrom": 0.17,
        "cold": 16000000,
        "overloadFactor": 3.0,
        "fall": 3000000,
        "drainGrace": 2000000,
    },
    "familyInfo": {
        "ifCold": "load",
        "lingerIdle": 9900000,
        "loadControl": False,
        "saysWarm": True,
        "saysCompany": True,
        "loadWait": 10000000,
    },
}


def settings():
    """Returns a copy of the settings of a small deployment, which a case changes."""
    return copy.deepcopy(SETTINGS)


class Gateway:
    """A gateway's process, with its configuration file and its log."""

    def __init__(self, record, bulletin, stated, name="n1", sockets=256, memory_mb=192):
        self.record, self.bulletin, self.settings, self.name = record, bulletin, stated, name
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gateway-"))
        self.port = free_port()
        self.process = None
        self.starts = 0

    def write_configuration(self, bulletin=None):
        """Writes the configuration file anew, in one step."""
        if bulletin is not None:
            self.bulletin = bulletin
        self.starts += 1
        path = self.folder / "config.json"
        document = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": self.limits,
            "bulletin": f"127.0.0.1:{self.bulletin.port}",
            "known": self.bulletin.known(),
            "settings": self.settings,
        }
        path.with_suffix(".new").write_text(json.dumps(document))
        path.with_suffix(".new").rename(path)
        return path

    async def start(self):
        """Starts the process and waits until it is ready."""
        path = self.write_configuration()
        private = self.folder / f"tmp{self.starts}"
        private.mkdir()
        environment = os.environ | {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": f"127.0.0.1:{self.port}",
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(private),
        }
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        log = (self.folder / "log.txt").open("ab")
        sockets = self.limits["sockets"]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", f"ulimit -n {sockets}; {command}"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        until_s = time.monotonic() + 20
        while time.monotonic() < until_s:
            try:
                if (
                    await ask(self.port, b"GET /ping HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
                ).status == 200:
                    self.record.write(self.name, "is ready")
                    return self
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"the gateway is not ready: {self.log()[-2000:]}")

    def signal(self, number):
        """Sends a signal to the process."""
        self.record.write(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def exited(self):
        """Returns the exit code, or None while the process runs."""
        return self.process.poll() if self.process else None

    def log(self):
        """Returns what the process has written."""
        return (self.folder / "log.txt").read_text(errors="replace")

    def end(self):
        """Kills the process if it still runs, and removes its folder."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
