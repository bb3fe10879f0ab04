"""How long a task is without a holder: `python -m bench.tenures [ROUNDS]`. Six gateways as processes, three keepers, a
term of 800 ms, silent after 700 ms; asked over control sockets every 30 ms, so figures are that coarse.
"""

import asyncio
import json
import signal
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests" / "peers"))

from fleet import Fleet  # noqa: E402

TASK = "bench"


async def without(fleet, number):
    begun = time.monotonic()
    holder, number = await fleet.holder(TASK, number)
    return holder, number, round(1000 * (time.monotonic() - begun))


async def play():
    found = {}
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), 6) as fleet:
            await fleet.together()
            begun = time.monotonic()
            for gate in fleet.gates[3:]:
                await gate.ask(do="hold", task=TASK)
            holder, number = await fleet.holder(TASK)
            found["first"] = round(1000 * (time.monotonic() - begun))
            holder.signal(signal.SIGSTOP)
            stopped, others = holder, [g for g in fleet.gates if g is not holder]
            begun = time.monotonic()
            holder, number = await fleet.holder(TASK, number, others)
            found["stopped"] = round(1000 * (time.monotonic() - begun))
            stopped.signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
            fleet.relay.cut([holder.name], [g.name for g in fleet.gates if g is not holder])
            lone, others = holder, [g for g in fleet.gates if g is not holder]
            begun = time.monotonic()
            holder, number = await fleet.holder(TASK, number, others)
            found["cut off"] = round(1000 * (time.monotonic() - begun))
            fleet.relay.calm()
            await fleet.together()
            del lone
            holder, number = await fleet.holder(TASK)
            await holder.kill()
            holder, number, found["killed"] = await without(fleet, number)
            holder.signal(signal.SIGTERM)
            begun = time.monotonic()
            await fleet.holder(TASK, number, [g for g in fleet.gates if g is not holder])
            found["leaving"] = round(1000 * (time.monotonic() - begun))
    return found


def main(rounds):
    for _ in range(rounds):
        print(json.dumps(asyncio.run(play())), flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 5)
