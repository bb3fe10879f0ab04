"""Counts wrong failovers, by the share of frames lost between gateways.

`python -m bench.mistakes [SECONDS]`. No gateway is lost, so each incarnation that ends and each
takeover is a mistake of failure detection. Eight gateways with requests in flight, three of them
voters; a silent gateway is suspected after 700 ms.
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
        async with FailoverPlatform(Path(folder), gates=8, hosts=4, work=150.0) as platform:
            platform.proxy.set("g*", "g*", drop=loss)
            sent, executed_once = 0, set()
            for turn in range(int(seconds * 50)):
                gate = platform.gates[turn % 8]
                if not platform.caller.ends[gate.name].transport.is_closing():
                    request_class = ("draft", "sign", "file")[turn % 3]
                    number = platform.caller.send(gate, request_class, function=f"deed-{turn % 6}")
                    sent += 1
                    executed_once |= {number} if request_class != "draft" else set()
                await asyncio.sleep(0.02)
            ended_incarnations = sum(
                len(gate.logged("incarnation ended")) for gate in platform.gates
            )
            takeovers = sum(len(gate.logged("takeover started")) for gate in platform.gates)
            effects = [
                row["event"] for row in platform.rows.of("effect") if row["event"] in executed_once
            ]
            return {
                "loss": loss,
                "s": seconds,
                "events": sent,
                "frames lost": platform.proxy.counts.get("dropped", 0),
                "estates taken over": takeovers,
                "lives over": ended_incarnations,
                "effects twice": len(effects) - len(set(effects)),
            }


def main(seconds):
    for loss in (0.0, 0.01, 0.05, 0.2):
        print(json.dumps(asyncio.run(play(loss, seconds))), flush=True)


if __name__ == "__main__":
    main(float(sys.argv[1]) if len(sys.argv) > 1 else 20.0)
