"""Counts frames and bytes sent to peers, by fleet size: `python -m bench.links [GATEWAYS ...]`.

Emulates a scenario without faults: three voters, two replicas of each gateway, two requests per
second at each gateway. Counts after the warm-up.
"""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from cherrydoor.cli import logs
from cherrydoor.emulator.play import Emulation
from cherrydoor.emulator.world import World
from cherrydoor.fakes.record import Clocks
from cherrydoor.rehearsal.day import read_day

SCENARIO = """
name: "links"
length: 4s
warm: 2s
spare: 100ms
events: [{name: "draft", target: 1s, max_age: 3s}]
fleet: {hosts: %(hosts)d}
cold: {}
functions: {count: 40, work: [30, 70], load: [60, 120]}
clients: {per_second: %(rate)d}
gateways: {count: %(count)d}
fellows: {keepers: 3, silent: 2s}
store: {}
list: {}
may: {}
ration: {}
"""

WARM_UP_S = 2.0  # before counting begins
REQUESTS_PER_GATEWAY = 2
VOTERS = 3  # as in SCENARIO
FEWEST_HOSTS = 8
DEFAULT_FLEETS = ("8", "50", "200")


class Sent(NamedTuple):
    """What one gateway has sent to peers so far, and the number of its peer connections."""

    frames: int
    bytes: int
    links: int


class Rate(NamedTuple):
    """What one gateway sends to peers per second."""

    frames: float
    bytes: float


class CountingEmulation(Emulation):
    """Counts what each gateway has sent, after the warm-up and at the end."""

    first: dict[int, Sent]
    last: dict[int, Sent]
    counted_s: float

    def sent(self) -> dict[int, Sent]:
        """Returns what each gateway has sent so far, by its number."""
        found = {}
        for number, service in self.services.items():
            peers = service.peer_services.peers
            found[number] = Sent(peers.frames_sent, peers.bytes_sent, len(peers.connections))
        return found

    async def follow(self) -> None:
        """Follows the scenario, and counts from the end of the warm-up until its end."""
        await asyncio.sleep(WARM_UP_S)
        self.first = self.sent()
        begun_s = self.world.time()
        await super().follow()
        self.last = self.sent()
        self.counted_s = self.world.time() - begun_s


def emulate(world: World, path: Path, output: Path) -> CountingEmulation:
    """Runs the scenario on the emulated clock; returns the emulation with its counts."""

    async def run() -> CountingEmulation:
        emulation = CountingEmulation(read_day(path), output)
        await emulation.play()
        return emulation

    real_clocks = Clocks.monotonic, Clocks.wall
    Clocks.monotonic, Clocks.wall = world.time, world.wall_time
    asyncio.set_event_loop(world)
    try:
        return world.run_until_complete(run())
    finally:
        Clocks.monotonic, Clocks.wall = real_clocks
        unfinished = asyncio.all_tasks(world)
        for task in unfinished:
            task.cancel()
        world.run_until_complete(asyncio.gather(*unfinished, return_exceptions=True))


def measure(gateways: int) -> dict[str, Any]:
    """Returns the figures of one fleet size: means of non-voters, and the busiest voter's."""
    begun = time.time()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "links.day"
        hosts = max(FEWEST_HOSTS, gateways // 2)
        rate = REQUESTS_PER_GATEWAY * gateways
        path.write_text(SCENARIO % {"count": gateways, "rate": rate, "hosts": hosts})
        emulation = emulate(World(1), path, Path(folder) / "out")
    rates = {}
    for number, last in emulation.last.items():
        first = emulation.first[number]
        rates[number] = Rate(
            (last.frames - first.frames) / emulation.counted_s,
            (last.bytes - first.bytes) / emulation.counted_s,
        )
    voters = [rate for number, rate in rates.items() if number < VOTERS]
    others = [rate for number, rate in rates.items() if number >= VOTERS]
    links = [sent.links for number, sent in emulation.last.items() if number >= VOTERS]
    return {
        "gateways": gateways,
        "frames/s": round(sum(rate.frames for rate in others) / len(others), 1),
        "bytes/s": round(sum(rate.bytes for rate in others) / len(others)),
        "voter frames/s": round(max(rate.frames for rate in voters), 1),
        "voter bytes/s": round(max(rate.bytes for rate in voters)),
        "links": round(sum(links) / len(others), 1),
        "real s": round(time.time() - begun),
    }


if __name__ == "__main__":
    logs.set_up("error")
    for fleet_size in sys.argv[1:] or DEFAULT_FLEETS:
        print(json.dumps(measure(int(fleet_size))), flush=True)
