"""Lives ended and estates taken over though nobody was lost, by the share of frames lost between
gateways: `python -m bench.mistakes [SECONDS]`. Eight gateways with work in hand, three keepers,
silent after 700 ms.
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

TESTS = Path(__file__).resolve().parent.parent / "tests"
sys.path[:0] = [str(TESTS / "peers"), str(TESTS / "custody")]

from fleet_and_hosts import FailoverPlatform  # noqa: E402


async def play(loss, seconds):
    with tempfile.TemporaryDirectory() as folder:
        async with FailoverPlatform(Path(folder), gates=8, hosts=4, work=150.0) as town:
            town.proxy.set("g*", "g*", drop=loss)
            sent, careful = 0, set()
            for turn in range(int(seconds * 50)):
                gate = town.gates[turn % 8]
                if not town.caller.ends[gate.name].transport.is_closing():
                    clause = ("draft", "sign", "file")[turn % 3]
                    number = town.caller.send(gate, clause, function=f"deed-{turn % 6}")
                    sent += 1
                    careful |= {number} if clause != "draft" else set()
                await asyncio.sleep(0.02)
            over = sum(len(gate.logged("incarnation ended")) for gate in town.gates)
            estates = sum(len(gate.logged("takeover started")) for gate in town.gates)
            effects = [row["event"] for row in town.rows.of("effect") if row["event"] in careful]
            return {
                "loss": loss,
                "s": seconds,
                "events": sent,
                "frames lost": town.proxy.counts.get("dropped", 0),
                "estates taken over": estates,
                "lives over": over,
                "effects twice": len(effects) - len(set(effects)),
            }


def main(seconds):
    for loss in (0.0, 0.01, 0.05, 0.2):
        print(json.dumps(asyncio.run(play(loss, seconds))), flush=True)


if __name__ == "__main__":
    main(float(sys.argv[1]) if len(sys.argv) > 1 else 20.0)
