"""Tenures among gateways as processes, with faults between them: one holder, and numbers that rise."""

import asyncio
import re
import signal

from fleet import Fleet, story, until

from cherrydoor.leader_election.promises import seal, unseal

TASK = "site/floor-1"


def numbers(fleet):
    """Every number under which a task was held by anybody, as logged."""
    found = [
        int(re.search(r"number\W+(\d+)", line)[1])
        for gate in fleet.gates
        for line in gate.logged("a task is held")
        if TASK in line
    ]
    return sorted(found)


async def want(gates):
    for gate in gates:
        await gate.ask(do="hold", task=TASK)


@story
async def test_a_killed_holder_is_followed_under_a_higher_number(tmp_path):
    async with Fleet(tmp_path, 6) as fleet:
        await fleet.together()
        await want(fleet.gates[3:])  # none of them a keeper: two kills leave a majority
        holder, number = await fleet.holder(TASK)
        for _ in range(2):
            await holder.kill()
            last = number
            holder, number = await fleet.holder(TASK, last)
            assert number > last
        found = numbers(fleet)
        assert len(set(found)) == len(found), "a number was held twice"


@story
async def test_a_holder_stopped_past_its_term_holds_nothing_when_it_wakes(tmp_path):
    async with Fleet(tmp_path, 5) as fleet:
        await fleet.together()
        await want(fleet.gates[2:])
        holder, number = await fleet.holder(TASK)
        holder.signal(signal.SIGSTOP)
        others = [gate for gate in fleet.gates if gate is not holder]
        heir, higher = await fleet.holder(TASK, number, others)
        holder.signal(signal.SIGCONT)
        await until(lambda: asyncio.sleep(0, holder.logged("no longer held")), bool)
        assert (
            await holder.held(TASK) != number
            and (await heir.held(TASK) or higher) >= higher > number
        )


@story
async def test_a_part_without_a_majority_of_keepers_holds_nothing_and_the_other_goes_on(tmp_path):
    async with Fleet(tmp_path, 6) as fleet:
        await fleet.together()
        minority, majority = fleet.gates[:1], fleet.gates[1:]
        await want(minority)
        holder, number = await fleet.holder(TASK)
        assert holder is fleet.gates[0]
        fleet.relay.cut([g.name for g in minority], [g.name for g in majority])
        await want(majority)
        heir, higher = await fleet.holder(TASK, number, majority)
        assert heir is not holder and higher > number and await holder.held(TASK) is None
        fleet.relay.calm()
        await fleet.together()
        assert await holder.held(TASK) is None


@story
async def test_leaving_hands_over_at_once(tmp_path):
    """The next holder does not wait for the term of the one that left."""
    async with Fleet(tmp_path, 5) as fleet:
        await fleet.together()
        await want(fleet.gates[3:])
        holder, number = await fleet.holder(TASK)
        holder.signal(signal.SIGTERM)
        assert await asyncio.wait_for(holder.process.wait(), 30) == 0
        assert holder.logged("handed over")
        _, higher = await fleet.holder(TASK, number)
        assert higher > number


@story
async def test_keepers_that_come_up_with_their_promises_and_without_keep_the_numbers_rising(
    tmp_path,
):
    async with Fleet(tmp_path, 5) as fleet:
        await fleet.together()
        await want(fleet.gates[3:])
        _, number = await fleet.holder(TASK)
        for keeper, kept in zip(fleet.gates[:3], (True, False, True), strict=True):
            await keeper.kill()
            if not kept:
                keeper.lease()
                (tmp_path / f"{keeper.name}.promises").unlink()
            await keeper.start()
            if not kept:
                assert (await keeper.ask(do="tenures"))["keeper"]["silent"] > 0
                await until(
                    lambda keeper=keeper: keeper.ask(do="tenures"),
                    lambda said: not said["keeper"]["silent"],
                )
            await fleet.together()
        holder, _ = await fleet.holder(TASK)
        assert (await holder.ask(do="yield", task=TASK)) is not None
        _, higher = await fleet.holder(TASK, number)
        found = numbers(fleet)
        assert higher > number and len(set(found)) == len(found)


def test_a_file_of_promises_is_believed_by_its_checksum_and_its_owner_alone(tmp_path):
    from cherrydoor.leader_election.decide import Promise, Promises

    kept = Promises(7, {"a": Promise(9, "g1", 5.0, 800.0)})
    data = seal("g0", kept)
    assert unseal("g0", data) == kept
    for wrong in (data[:-1], data + b" ", data.replace(b"g1", b"g2"), b"", data.split(b"\n", 1)[1]):
        for name in ("g0", "g2"):
            try:
                unseal(name, wrong)
            except ValueError:
                continue
            raise AssertionError("believed")
    try:
        unseal("g2", data)
    except ValueError as error:
        assert "another keeper" in str(error)
    else:
        raise AssertionError("another keeper's promises were believed")
