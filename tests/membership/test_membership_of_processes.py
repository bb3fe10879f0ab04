"""Several gateway processes: which members each sees as alive, suspected, disconnected or left."""

import asyncio
import signal

from fleet import Fleet, async_test, until

from cherrydoor.membership.member_table import ALIVE, DISCONNECTED, LEFT, SUSPECTED
from cherrydoor.tls.local_authority import LocalAuthority


async def states_of(name, gates):
    """Returns the set of states in which those gateways see one member."""
    return {(await gate.member_states()).get(name) for gate in gates}


async def until_seen(gates, name, state):
    """Waits until all of those gateways see one member in that state."""
    await until(lambda: states_of(name, gates), lambda seen: seen == {state})


async def incarnation_of(gate):
    return (await gate.ask(do="peers"))["life"]


@async_test
async def test_a_killed_gateway_is_disconnected_for_all_and_returns_as_another_incarnation(
    tmp_path,
):
    async with Fleet(tmp_path, 6) as fleet:
        first, *others = reversed(await fleet.wait_until_all_alive())
        incarnation = await incarnation_of(first)
        await first.kill()
        await until_seen(others, first.name, DISCONNECTED)
        await first.start()
        await until_seen(others, first.name, ALIVE)
        assert await incarnation_of(first) > incarnation


@async_test
async def test_a_stopped_gateway_is_suspected_until_it_refutes_that_in_the_same_incarnation(
    tmp_path,
):
    """No other gateway has taken over its requests, so it continues as the same incarnation."""
    async with Fleet(tmp_path, 5) as fleet:
        first, *others = reversed(await fleet.wait_until_all_alive())
        incarnation = await incarnation_of(first)
        first.signal(signal.SIGSTOP)
        await until_seen(others, first.name, SUSPECTED)
        first.signal(signal.SIGCONT)
        await until_seen(others, first.name, ALIVE)
        assert await incarnation_of(first) == incarnation


@async_test
async def test_a_gateway_that_shuts_down_gracefully_is_seen_to_have_left(tmp_path):
    async with Fleet(tmp_path, 4) as fleet:
        first, *others = reversed(await fleet.wait_until_all_alive())
        first.signal(signal.SIGTERM)
        assert await asyncio.wait_for(first.process.wait(), 30) == 0
        await until_seen(others, first.name, LEFT)


@async_test
async def test_a_reset_link_alone_makes_nobody_suspected(tmp_path):
    async with Fleet(tmp_path, 4) as fleet:
        gates = await fleet.wait_until_all_alive()
        for _ in range(5):
            fleet.proxy.reset("*", "*")
            await fleet.wait_until_all_alive()
        answers = [await gate.ask(do="peers") for gate in gates]
        assert all(row["state"] == ALIVE for answer in answers for row in answer["members"])


@async_test
async def test_frames_that_come_late_twice_and_out_of_order_change_nothing(tmp_path):
    async with Fleet(tmp_path, 5) as fleet:
        fleet.proxy.set("*", "*", delay=5.0, spread=60.0, double=0.3, reorder=0.3)
        first, *others = reversed(await fleet.wait_until_all_alive())
        for _ in range(2):
            await first.kill()
            await until_seen(others, first.name, DISCONNECTED)
            await first.start()
            await until_seen(others, first.name, ALIVE)


@async_test
async def test_two_processes_of_one_name_are_logged(tmp_path):
    async with Fleet(tmp_path, 4) as fleet:
        gates = await fleet.wait_until_all_alive()
        clone = type(gates[3])(fleet, 3, {})
        clone.at = await fleet.proxy.port("g3", clone.peer_address)
        clone.control += "2"
        fleet.gates.append(clone)
        await clone.start()
        await until(lambda: asyncio.sleep(0, gates[3].logged("another process")), bool)


def fleet_with_certificates(folder):
    """Creates three gateways with certificates; g2 presents the certificate of g1."""
    keys = LocalAuthority(folder / "keys")
    keys.create_authority()
    for name in ("g0", "g1", "g2"):
        keys.issue("gateway", name, addresses=["127.0.0.1"])
    fleet = Fleet(folder, 3)
    for gate in fleet.gates:
        certificate_name = "g1" if gate.name == "g2" else gate.name
        gate.extra_settings = {
            "keys": {
                "certificate": str(keys.path / f"{certificate_name}.pem"),
                "key": str(keys.path / f"{certificate_name}.key"),
                "authorities": str(keys.path / "authorities.pem"),
            }
        }
        gate.at = gate.peer_address  # no proxy, as it cannot read encrypted frames
    return fleet


async def linked_names(gate):
    answer = await gate.ask(do="peers")
    return {row["name"] for row in answer["members"] if row["linked"]} if answer else set()


@async_test
async def test_a_peer_is_linked_only_under_the_name_of_its_certificate(tmp_path):
    fleet = fleet_with_certificates(tmp_path)
    await asyncio.gather(*(gate.start() for gate in fleet.gates))
    try:
        first, second, _ = fleet.gates
        await until(lambda: linked_names(first), lambda seen: seen == {"g1"})
        await until(lambda: linked_names(second), lambda seen: seen == {"g0"})
        # g2 sends its hello before the others have rejected it, so the others log the rejection.
        for gate in (first, second):
            await until(
                lambda gate=gate: asyncio.sleep(0, gate.logged("certificate is not of that name")),
                bool,
            )
        assert await linked_names(first) == {"g1"}
        assert await linked_names(second) == {"g0"}
    finally:
        await fleet.__aexit__()
