"""Leases among gateway processes with faults: one leaseholder at a time, and rising tokens."""

import asyncio
import re
import signal

import pytest
from fleet import Fleet, async_test, until

from cherrydoor.leader_election.messages import Vote, Votes
from cherrydoor.leader_election.vote_store import (
    InvalidVoteFileError,
    decode_votes,
    encode_votes,
)

TASK = "site/floor-1"


def tokens_acquired(fleet):
    """The fencing tokens under which any gateway acquired the lease of the task, from the logs."""
    found = [
        int(re.search(r"fencing_token\W+(\d+)", line)[1])
        for gate in fleet.gates
        for line in gate.logged("lease acquired")
        if TASK in line
    ]
    return sorted(found)


def assert_no_token_twice(fleet):
    found = tokens_acquired(fleet)
    assert found, "no lease was logged"
    assert len(set(found)) == len(found), "a token was used twice"


async def ask_for_lease(gates):
    for gate in gates:
        await gate.ask(do="hold", task=TASK)


@async_test
async def test_a_killed_leaseholder_is_followed_under_a_higher_token(tmp_path):
    async with Fleet(tmp_path, 6) as fleet:
        await fleet.wait_until_all_alive()
        await ask_for_lease(fleet.gates[3:])  # none is a voter, so two kills leave a majority
        leaseholder, token = await fleet.wait_for_leaseholder(TASK)
        for _ in range(2):
            await leaseholder.kill()
            last_token = token
            leaseholder, token = await fleet.wait_for_leaseholder(TASK, last_token)
            assert token > last_token
        assert_no_token_twice(fleet)


@async_test
async def test_a_leaseholder_stopped_past_its_term_holds_nothing_when_it_goes_on(tmp_path):
    async with Fleet(tmp_path, 5) as fleet:
        await fleet.wait_until_all_alive()
        await ask_for_lease(fleet.gates[2:])
        leaseholder, token = await fleet.wait_for_leaseholder(TASK)
        leaseholder.signal(signal.SIGSTOP)
        others = [gate for gate in fleet.gates if gate is not leaseholder]
        successor, higher_token = await fleet.wait_for_leaseholder(TASK, token, others)
        leaseholder.signal(signal.SIGCONT)
        await until(lambda: asyncio.sleep(0, leaseholder.logged("lease ended")), bool)
        assert await leaseholder.held_token(TASK) != token
        assert (await successor.held_token(TASK) or higher_token) >= higher_token > token


@async_test
async def test_a_part_without_a_majority_of_voters_holds_nothing_and_the_other_goes_on(tmp_path):
    async with Fleet(tmp_path, 6) as fleet:
        await fleet.wait_until_all_alive()
        minority = fleet.gates[:1]
        majority = fleet.gates[1:]
        await ask_for_lease(minority)
        leaseholder, token = await fleet.wait_for_leaseholder(TASK)
        assert leaseholder is fleet.gates[0]
        fleet.proxy.cut([gate.name for gate in minority], [gate.name for gate in majority])
        await ask_for_lease(majority)
        successor, higher_token = await fleet.wait_for_leaseholder(TASK, token, majority)
        assert successor is not leaseholder
        assert higher_token > token
        assert await leaseholder.held_token(TASK) is None
        fleet.proxy.calm()
        await fleet.wait_until_all_alive()
        assert await leaseholder.held_token(TASK) is None


@async_test
async def test_a_graceful_shutdown_releases_the_lease_at_once(tmp_path):
    """The next leaseholder does not have to wait until the term of the last one expires."""
    async with Fleet(tmp_path, 5) as fleet:
        await fleet.wait_until_all_alive()
        await ask_for_lease(fleet.gates[3:])
        leaseholder, token = await fleet.wait_for_leaseholder(TASK)
        leaseholder.signal(signal.SIGTERM)
        assert await asyncio.wait_for(leaseholder.process.wait(), 30) == 0
        assert any("released" in line for line in leaseholder.logged("lease ended"))
        _, higher_token = await fleet.wait_for_leaseholder(TASK, token)
        assert higher_token > token


async def restart_voter(voter, vote_file=None):
    """Kills a voter and starts it again; deletes its vote file in between if one is given."""
    await voter.kill()
    if vote_file is not None:
        voter.write_configuration()
        vote_file.unlink()
    await voter.start()
    if vote_file is not None:
        assert (await voter.ask(do="tenures"))["keeper"]["silent"] > 0
        await until(
            lambda: voter.ask(do="tenures"),
            lambda answer: not answer["keeper"]["silent"],
        )


@async_test
async def test_voters_that_restart_with_and_without_their_votes_keep_the_tokens_rising(tmp_path):
    async with Fleet(tmp_path, 5) as fleet:
        await fleet.wait_until_all_alive()
        await ask_for_lease(fleet.gates[3:])
        _, token = await fleet.wait_for_leaseholder(TASK)
        for voter, loses_votes in zip(fleet.gates[:3], (False, True, False), strict=True):
            vote_file = tmp_path / f"{voter.name}.promises"
            await restart_voter(voter, vote_file if loses_votes else None)
            await fleet.wait_until_all_alive()
        leaseholder, _ = await fleet.wait_for_leaseholder(TASK)
        assert (await leaseholder.ask(do="yield", task=TASK)) is not None
        _, higher_token = await fleet.wait_for_leaseholder(TASK, token)
        assert higher_token > token
        assert_no_token_twice(fleet)


# ---- the vote file
VOTES = Votes(7, {"a": Vote(9, "g1", 5.0, 800.0)})
VOTE_FILE = encode_votes("g0", VOTES)


def test_a_vote_file_is_read_as_written():
    assert decode_votes("g0", VOTE_FILE) == VOTES


@pytest.mark.parametrize("voter", ["g0", "g2"])
@pytest.mark.parametrize(
    "data",
    [
        pytest.param(VOTE_FILE[:-1], id="cut short"),
        pytest.param(VOTE_FILE + b" ", id="longer"),
        pytest.param(VOTE_FILE.replace(b"g1", b"g2"), id="changed"),
        pytest.param(b"", id="empty"),
        pytest.param(VOTE_FILE.split(b"\n", 1)[1], id="without its format line"),
    ],
)
def test_a_changed_vote_file_is_refused(data, voter):
    with pytest.raises(InvalidVoteFileError):
        decode_votes(voter, data)


def test_a_vote_file_of_another_voter_is_refused():
    with pytest.raises(InvalidVoteFileError, match="another voter"):
        decode_votes("g2", VOTE_FILE)
