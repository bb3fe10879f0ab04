"""The gateways of a soak: their configurations and processes."""

import asyncio
import contextlib
import json
import os
import subprocess
import sys

from cherrydoor.rehearsal.soak.settings import SETTINGS
from cherrydoor.rehearsal.soak.world import DISCOVERY_PORT

READY_TIMEOUT_S = 20.0


class GatewayProcesses:
    """Starts and ends the gateways of a run.

    Attributes:
        processes: Gateway number -> its process.
    """

    def __init__(self, run):
        self.run = run
        self.processes = {}

    def write_configuration(self, gateway):
        """Writes a gateway's configuration file atomically and returns its path."""
        settings = SETTINGS | {
            "instances": self.run.plan.gateways,
            "me": gateway,
            "requestClasses": [
                self.request_class("draft", "repeatable"),
                self.request_class("file", "once"),
            ],
            "tenants": [{"name": "acme", "portion": 1.0, "quotaPerS": 1000.0}],
            "rules": SETTINGS["rules"] | {"drainGrace": self.run.plan.grace_ms * 1000},
        }
        document = {
            "name": f"n{gateway}",
            "listen": ":".join(map(str, self.run.listen_address(gateway))),
            "seed": f"{self.run.plan.seed * 100 + gateway + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "bulletin": f"{self.run.discovery[gateway].address}:{DISCOVERY_PORT}",
            "known": self.run.endpoint_list.snapshot(gateway),
            "settings": settings,
        }
        path = self.run.folder / f"n{gateway}.json"
        temporary_path = path.with_suffix(".new")
        temporary_path.write_text(json.dumps(document))
        temporary_path.replace(path)
        return path

    def request_class(self, name, repeat):
        deadline_us = self.run.plan.deadline_ms * 1000
        return {"name": name, "aim": deadline_us // 2, "deadline": deadline_us, "repeat": repeat}

    async def start(self, gateway):
        environment = os.environ | {"PROXY_CONFIG": str(self.write_configuration(gateway))}
        environment["PROXY_NAME"] = f"n{gateway}"
        with open(self.run.folder / f"n{gateway}.log", "a") as log:
            self.processes[gateway] = subprocess.Popen(
                [sys.executable, "-m", "cherrydoor", "platform"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready(gateway):
                await asyncio.sleep(0.02)
        self.run.clients[gateway].accepting = True

    async def is_ready(self, gateway):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*self.run.listen_address(gateway))
            writer.write(b"GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return head.startswith(b"HTTP/1.1 200")
        return False

    def kill(self):
        """Kills every gateway that is still running."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
