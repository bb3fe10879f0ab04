"""Virtual time and days played in it."""

import asyncio
import hashlib
import os
import subprocess
import sys

import pytest
from test_days import LITTLE

from cherrydoor.emulator.play import emulate
from cherrydoor.emulator.world import World
from cherrydoor.rehearsal.audit import audit
from cherrydoor.rehearsal.day import read_day


def played(folder, text=LITTLE, seed=1):
    folder.mkdir(parents=True, exist_ok=True)
    day = folder / "little.day"
    day.write_text(text)
    emulate(read_day(day, seed=seed), folder / "out")
    return audit(folder / "out")


def test_a_day_passes_at_once_keeps_every_rule_and_answers_each_event_once(tmp_path):
    found = played(tmp_path)
    assert found["broken"] == [] and found["answers"]["handled"] > 50 and found["loads"] > 0
    assert found["launches"] >= found["effects"] >= found["answers"]["handled"]
    assert found["lag_ms"]["p100"] < 0.001, "in virtual time nobody is late"


def test_the_same_seed_gives_the_same_run_whatever_the_hash_seed(tmp_path):
    told = []
    for hashing in ("1", "2"):
        folder = tmp_path / hashing
        folder.mkdir()
        (folder / "little.day").write_text(LITTLE)
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "cherrydoor",
                "emulate",
                str(folder / "little.day"),
                "--json",
                "--out",
                str(folder / "out"),
            ],
            capture_output=True,
            text=True,
            timeout=120,
            env=os.environ | {"PYTHONPATH": os.getcwd(), "PYTHONHASHSEED": hashing},
        )
        assert done.returncode == 0, done.stderr
        told.append(hashlib.sha256(done.stdout.encode()).hexdigest())
    assert told[0] == told[1]
    assert played(tmp_path / "3", seed=2)["line"] != played(tmp_path / "4", seed=3)["line"]


def test_time_jumps_and_bytes_come_in_order_after_their_delay():
    world, heard = World(), []

    class Ear(asyncio.BaseProtocol):
        def data_received(self, data):
            heard.append((world.time(), data))

        def connection_lost(self, error):
            heard.append((world.time(), "lost"))

    async def story():
        server = await world.create_server(Ear, "127.0.0.1", 0)
        pipe, _ = await world.create_connection(Ear, "127.0.0.1", server.getsockname()[1])
        await asyncio.sleep(3600)
        for i in range(5):
            pipe.write(bytes([i]))
            await asyncio.sleep(0)
        pipe.close()
        await asyncio.sleep(1)
        with pytest.raises(ConnectionRefusedError):
            await world.create_connection(Ear, "127.0.0.1", 1)

    world.run_until_complete(story())
    assert (
        b"".join(x for _, x in heard if x != "lost") == bytes(range(5)) and heard[-1][1] == "lost"
    )
    assert all(t >= 3600.0001 for t, x in heard if x != "lost") and world.time() < 3602


def test_what_waits_for_nothing_is_an_error_and_no_standstill():
    world = World()

    async def story():
        await world.create_future()

    with pytest.raises(RuntimeError, match="deadlock: no timer or ready callback is left"):
        world.run_until_complete(story())


def test_a_gateway_killed_and_one_that_stands_still(tmp_path):
    text = (
        LITTLE[: LITTLE.index("troubles:")]
        + """troubles: [
  {at: 1s, what: "gateway-crash", lasts: 800ms, part: 30%}
  {at: 2s, what: "gateway-stall", lasts: 1s, part: 30%}
]
"""
    )
    found = played(tmp_path, text)
    assert found["broken"] == [] and sum(found["line"]["due"]) > 100
    assert any("killed" in why for why in found["excused"]) or found["answers"]["handled"]
