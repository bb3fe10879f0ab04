"""Several gateways as processes: who is there, by whose word, and what a suspicion is worth."""

import asyncio
import signal

from fleet import Fleet, story, until


async def seen_by(gates, name):
    """What those gateways hold of one."""
    return {(await gate.sees()).get(name) for gate in gates}


@story
async def test_a_killed_gateway_has_vanished_for_all_and_comes_back_as_another_life(tmp_path):
    async with Fleet(tmp_path, 6) as fleet:
        first, *others = reversed(await fleet.together())
        incarnation = (await first.ask(do="peers"))["life"]
        await first.kill()
        await until(lambda: seen_by(others, first.name), lambda seen: seen == {"vanished"})
        await first.start()
        await until(lambda: seen_by(others, first.name), lambda seen: seen == {"here"})
        assert (await first.ask(do="peers"))["life"] > incarnation


@story
async def test_a_stopped_gateway_is_silent_and_its_own_word_undoes_it(tmp_path):
    """It is not another life: nobody has taken anything from it, and it goes on."""
    async with Fleet(tmp_path, 5) as fleet:
        first, *others = reversed(await fleet.together())
        incarnation = (await first.ask(do="peers"))["life"]
        first.signal(signal.SIGSTOP)
        await until(lambda: seen_by(others, first.name), lambda seen: seen == {"silent"})
        first.signal(signal.SIGCONT)
        await until(lambda: seen_by(others, first.name), lambda seen: seen == {"here"})
        assert (await first.ask(do="peers"))["life"] == incarnation


@story
async def test_a_leaving_gateway_is_not_taken_for_a_lost_one(tmp_path):
    async with Fleet(tmp_path, 4) as fleet:
        first, *others = reversed(await fleet.together())
        first.signal(signal.SIGTERM)
        assert await asyncio.wait_for(first.process.wait(), 30) == 0
        await until(lambda: seen_by(others, first.name), lambda seen: seen == {"left"})


@story
async def test_a_reset_link_alone_makes_nobody_suspect(tmp_path):
    async with Fleet(tmp_path, 4) as fleet:
        gates = await fleet.together()
        for _ in range(5):
            fleet.relay.reset("*", "*")
            await fleet.together()
        words = [await gate.ask(do="peers") for gate in gates]
        assert all(row["state"] == "here" for said in words for row in said["members"])


@story
async def test_frames_that_come_late_twice_and_out_of_order_change_nothing(tmp_path):
    async with Fleet(tmp_path, 5) as fleet:
        fleet.relay.set("*", "*", delay=5.0, spread=60.0, double=0.3, reorder=0.3)
        first, *others = reversed(await fleet.together())
        for _ in range(2):
            await first.kill()
            await until(lambda: seen_by(others, first.name), lambda seen: seen == {"vanished"})
            await first.start()
            await until(lambda: seen_by(others, first.name), lambda seen: seen == {"here"})


@story
async def test_two_processes_under_one_name_are_seen(tmp_path):
    async with Fleet(tmp_path, 4) as fleet:
        gates = await fleet.together()
        clone = type(gates[3])(fleet, 3, {})
        clone.at = await fleet.relay.port("g3", clone.real)
        clone.control += "2"
        fleet.gates.append(clone)
        await clone.start()
        await until(lambda: asyncio.sleep(0, gates[3].logged("another process")), bool)


@story
async def test_peers_are_believed_by_their_certificates_and_under_that_name_alone(tmp_path):
    from cherrydoor.tls.make import Folder

    keys = Folder(tmp_path / "keys")
    keys.authority()
    for name in ("g0", "g1", "g2"):
        keys.issue("gateway", name, addresses=["127.0.0.1"])
    fleet = Fleet(tmp_path, 3)
    for gate in fleet.gates:
        shown = "g1" if gate.name == "g2" else gate.name  # g2 shows another's certificate
        gate.more = {
            "keys": {
                "certificate": str(keys.path / f"{shown}.pem"),
                "key": str(keys.path / f"{shown}.key"),
                "authorities": str(keys.path / "authorities.pem"),
            }
        }
        gate.at = gate.real  # a relay cannot read what is sealed
    await asyncio.gather(*(gate.start() for gate in fleet.gates))
    try:
        first, second, wrong = fleet.gates

        def linked(gate):
            async def ask():
                said = await gate.ask(do="peers")
                return {row["name"] for row in said["members"] if row["linked"]} if said else set()

            return ask

        await until(linked(first), lambda seen: seen == {"g1"})
        await until(linked(second), lambda seen: seen == {"g0"})
        # it greets others before they have turned it away, so it is they who tell
        for gate in (first, second):
            await until(
                lambda gate=gate: asyncio.sleep(0, gate.logged("certificate is not of that name")),
                bool,
            )
        assert await linked(first)() == {"g1"} and await linked(second)() == {"g0"}
    finally:
        await fleet.__aexit__()
