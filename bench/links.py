"""Frames and bytes that a gateway sends to peers, by the size of the fleet, emulated: `python -m bench.links [N ...]`.

A calm day with three keepers and two witnesses each, two events a second and gateway; counted over the last seconds.
"""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

from cherrydoor.cli import logs
from cherrydoor.emulator.play import Emulation
from cherrydoor.emulator.world import World
from cherrydoor.fakes.record import Clocks
from cherrydoor.rehearsal.day import read_day

DAY = """
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


class Counted(Emulation):
    """Sums at the beginning and at the end."""

    def sums(self):
        found = {}
        for number, service in self.shells.items():
            found[number] = (
                service.peer_services.peers.frames,
                service.peer_services.peers.bytes,
                len(service.peer_services.peers.ends),
            )
        return found

    async def follow(self):
        await asyncio.sleep(2.0)
        before, at = self.sums(), self.world.time()
        await super().follow()
        self.found = before, self.sums(), self.world.time() - at


def play(count):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "links.day"
        path.write_text(DAY % {"count": count, "rate": 2 * count, "hosts": max(8, count // 2)})
        world = World(1)
        before = Clocks.steady, Clocks.wall
        Clocks.steady, Clocks.wall = world.time, world.wall
        asyncio.set_event_loop(world)
        begun = time.time()

        async def run():
            one = Counted(read_day(path), Path(folder) / "out")
            await one.play()
            return one.found

        try:
            first, last, span = world.run_until_complete(run())
        finally:
            Clocks.steady, Clocks.wall = before
            for task in (left := asyncio.all_tasks(world)):
                task.cancel()
            world.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        rates = {
            n: [(b - a) / span for a, b in zip(first[n][:2], last[n][:2], strict=True)]
            for n in last
        }
        others = [rate for n, rate in rates.items() if n > 2]
        return {
            "gateways": count,
            "frames/s": round(sum(r[0] for r in others) / len(others), 1),
            "bytes/s": round(sum(r[1] for r in others) / len(others)),
            "keeper frames/s": round(max(rates[n][0] for n in range(3)), 1),
            "keeper bytes/s": round(max(rates[n][1] for n in range(3))),
            "links": round(sum(last[n][2] for n in last if n > 2) / len(others), 1),
            "real s": round(time.time() - begun),
        }


if __name__ == "__main__":
    logs.set_up("error")
    for number in map(int, sys.argv[1:] or ("8", "50", "200")):
        print(json.dumps(play(number)), flush=True)
