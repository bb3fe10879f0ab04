"""Measures how long a task has no leaseholder: `python -m bench.leader_election [ROUNDS]`.

Six gateway processes, three of them voters, with a lease term of 800 ms; a silent gateway is
suspected after 700 ms. Control sockets are polled every 30 ms, which is the resolution of the
figures.
"""

import asyncio
import json
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests" / "membership"))

from fleet import Fleet  # noqa: E402

TASK = "bench"
GATEWAYS = 6
VOTERS = 3
SETTLE_S = 1.0  # until a gateway that continues has learnt that its lease has ended
DEFAULT_ROUNDS = 5


class Round:
    """One round on one fleet.

    Attributes:
        found_ms: Fault -> time without a leaseholder after it.
    """

    def __init__(self, fleet: Any) -> None:
        """Prepares a round on a fleet that has started."""
        self.fleet = fleet
        self.leaseholder: Any = None
        self.token = 0
        self.found_ms: dict[str, int] = {}

    def others(self) -> list[Any]:
        """Returns all gateways except the leaseholder."""
        return [gate for gate in self.fleet.gates if gate is not self.leaseholder]

    async def measure(self, name: str, among: list[Any] | None = None) -> None:
        """Waits for the next leaseholder, and stores how long that took."""
        begun = time.monotonic()
        self.leaseholder, self.token = await self.fleet.wait_for_leaseholder(
            TASK, self.token, among
        )
        self.found_ms[name] = round(1000 * (time.monotonic() - begun))

    async def play(self) -> dict[str, int]:
        """Stops, cuts off, kills and drains the leaseholder in turn, and returns the times."""
        await self.fleet.wait_until_all_alive()
        begun = time.monotonic()
        for gate in self.fleet.gates[VOTERS:]:
            await gate.ask(do="hold", task=TASK)
        self.leaseholder, self.token = await self.fleet.wait_for_leaseholder(TASK)
        self.found_ms["first"] = round(1000 * (time.monotonic() - begun))
        stopped = self.leaseholder
        stopped.signal(signal.SIGSTOP)
        await self.measure("stopped", self.others())
        stopped.signal(signal.SIGCONT)
        await asyncio.sleep(SETTLE_S)
        self.fleet.proxy.cut([self.leaseholder.name], [gate.name for gate in self.others()])
        await self.measure("cut off", self.others())
        self.fleet.proxy.calm()
        await self.fleet.wait_until_all_alive()
        self.leaseholder, self.token = await self.fleet.wait_for_leaseholder(TASK)
        await self.leaseholder.kill()
        await self.measure("killed")
        self.leaseholder.signal(signal.SIGTERM)
        await self.measure("leaving", self.others())
        return self.found_ms


async def play() -> dict[str, int]:
    """Runs one round on a new fleet."""
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), GATEWAYS, VOTERS) as fleet:
            return await Round(fleet).play()


def main(rounds: int) -> None:
    """Prints the figures of each round, in ms, as a line of JSON."""
    for _ in range(rounds):
        print(json.dumps(asyncio.run(play())), flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_ROUNDS)
