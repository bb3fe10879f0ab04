"""Requests in flight survive the loss of their gateway, and are taken over only once.

Gateways are killed, stopped and cut off while requests run.
"""

import signal

from fleet import async_test, until
from fleet_and_hosts import FailoverPlatform, eventually

from cherrydoor.config.records import Duration
from cherrydoor.protocol.failover import ResponseUnknown


def effects_of(platform, request_id):
    """Return how many times a request had its effect, over all hosts."""
    return len(platform.rows.of("effect", request_id))


@async_test
async def test_an_attempt_running_when_its_gateway_is_killed_is_adopted_and_its_response_claimed(
    tmp_path,
):
    async with FailoverPlatform(tmp_path) as platform:
        owner, other = platform.gates[3], platform.gates[4]
        request_ids = [
            platform.caller.send(owner, request_class)
            for request_class in ("file", "sign", "draft")
        ]
        for request_id in request_ids:
            await platform.until_running(request_id)
        platform.pause_work()
        await platform.until_replicated(owner)
        await owner.kill()
        claims = [platform.caller.claim(other, owner, request_id) for request_id in request_ids]
        await eventually(lambda: len(platform.rows.of("adopt")) == 3)
        platform.resume_work()
        for request_id, claim in zip(request_ids, claims, strict=True):
            response = await platform.caller.answer(claim)
            assert response.outcome == "handled" and response.body == b"xxxx", response
            assert (
                effects_of(platform, request_id) == 1
                and len(platform.rows.of("launch", request_id)) == 1
            )
        assert len(platform.takeovers_of(owner)) == 1


@async_test
async def test_a_response_cannot_be_claimed_without_its_claim_key(tmp_path):
    async with FailoverPlatform(tmp_path) as platform:
        owner, other = platform.gates[3], platform.gates[4]
        request_id = platform.caller.send(owner, "file")
        await platform.until_running(request_id)
        await platform.until_replicated(owner)
        await owner.kill()
        for claim in (
            platform.caller.claim(other, owner, request_id, "guessed"),
            platform.caller.claim(other, owner, request_id, ""),
            platform.caller.claim(other, owner, request_id + 1000),
        ):
            assert type(await platform.caller.answer(claim)) is ResponseUnknown
        assert (
            await platform.caller.answer(platform.caller.claim(other, owner, request_id))
        ).outcome == "handled"


@async_test
async def test_an_attempt_whose_outcome_the_owner_never_read_is_answered_and_not_run_again(
    tmp_path,
):
    """The owner is stopped while the host responds, so the outcome stays unread in its socket. Only
    the successor may answer the request."""
    async with FailoverPlatform(tmp_path) as platform:
        owner, other = platform.gates[3], platform.gates[4]
        request_id = platform.caller.send(owner, "file")
        await platform.until_running(request_id)
        await platform.until_replicated(owner)
        owner.signal(signal.SIGSTOP)
        await eventually(lambda: platform.rows.of("outcome", request_id))
        response = await platform.caller.answer(platform.caller.claim(other, owner, request_id))
        assert response.outcome == "handled" and effects_of(platform, request_id) == 1
        # When the owner resumes, its incarnation has ended: its client gets no second response.
        owner.signal(signal.SIGCONT)
        await eventually(lambda: owner.logged("incarnation ended"))
        await eventually(lambda: platform.caller.ends[owner.name] in platform.caller.lost_ends)
        assert request_id not in platform.caller.answers
        await platform.wait_until_all_alive()
        again = await platform.caller.connect(owner)
        assert again.reader.hello.incarnation > 0
        assert (
            await platform.caller.answer(platform.caller.send(owner, "draft"))
        ).outcome == "handled"


@async_test
async def test_a_second_successor_starts_from_host_reports_under_a_higher_fencing_token(tmp_path):
    async with FailoverPlatform(tmp_path, gates=6) as platform:
        owner = platform.gates[5]
        request_id = platform.caller.send(owner, "file", timeout_ms=30000.0)
        await platform.until_running(request_id)
        platform.pause_work()
        await platform.until_replicated(owner)
        await owner.kill()
        await eventually(lambda: platform.rows.of("adopt", request_id))
        first = next(
            gate
            for gate in platform.gates
            if gate.name == platform.rows.of("adopt", request_id)[0]["peer"]
        )
        await first.kill()
        await eventually(lambda: len(platform.rows.of("adopt", request_id)) == 2)
        platform.resume_work()
        other = next(gate for gate in platform.gates if gate not in (owner, first))
        response = await platform.caller.answer(
            platform.caller.claim(other, owner, request_id, timeout_ms=30000.0)
        )
        assert response.outcome == "handled" and effects_of(platform, request_id) == 1
        fencing_tokens = [
            row["number"]
            for row in platform.rows.of("over")
            if row["who"] == platform.hosts[0].id and row["text"] == owner.name
        ]
        assert len(fencing_tokens) == 2 and fencing_tokens[0] < fencing_tokens[1]


@async_test
async def test_a_request_that_never_reached_a_host_is_retried(tmp_path):
    """The proxy holds back its attempt, and the hosts refuse it if it arrives later."""
    async with FailoverPlatform(tmp_path, work=50.0) as platform:
        owner, other = platform.gates[3], platform.gates[4]
        platform.proxy.set(owner.name, "h", hold=True)
        request_id = platform.caller.send(owner, "file")
        await until(
            lambda: owner.ask(do="custody"),
            lambda table: table and table["in hand"] and not table["untold ms"],
        )
        await eventually(lambda: platform.proxy.counts.get("held"))
        await owner.kill()
        response = await platform.caller.answer(platform.caller.claim(other, owner, request_id))
        assert response.outcome == "handled" and effects_of(platform, request_id) == 1
        assert platform.rows.of("launch", request_id)[0]["peer"] != owner.name


@async_test
async def test_an_at_most_once_request_is_not_retried_while_a_host_does_not_report(
    tmp_path,
):
    async with FailoverPlatform(tmp_path, work=1500.0) as platform:
        owner, other = platform.gates[3], platform.gates[4]
        request_ids = {
            request_class: platform.caller.send(owner, request_class)
            for request_class in ("file", "draft")
        }
        for request_id in request_ids.values():
            await platform.until_running(request_id)
        await platform.until_replicated(owner)
        for gate in platform.gates:
            if gate is not owner:
                platform.proxy.set(gate.name, "h", hold=True)  # the hosts receive no query
        await owner.kill()
        response = await platform.caller.answer(
            platform.caller.claim(other, owner, request_ids["file"])
        )
        assert response.outcome == "dead-lettered" and "may have run" in response.reason
        assert (
            effects_of(platform, request_ids["file"]) <= 1
            and len(platform.rows.of("launch", request_ids["file"])) == 1
        )


@async_test
async def test_a_repeat_of_a_request_being_taken_over_waits_for_its_response(tmp_path):
    async with FailoverPlatform(tmp_path) as platform:
        owner, other = platform.gates[3], platform.gates[4]
        request_id = platform.caller.send(
            owner, "file", timeout_ms=30000.0, idempotency_key="contract"
        )
        await platform.until_running(request_id)
        platform.pause_work()
        await platform.until_replicated(owner)
        await owner.kill()
        await eventually(lambda: platform.rows.of("adopt", request_id))
        for gate in platform.gates[:3]:
            await until(
                lambda gate=gate: gate.ask(do="peers"),
                lambda table: any(
                    row["name"] == owner.name and row["state"] == "over" for row in table["members"]
                ),
            )
        repeat = platform.caller.send(other, "file", timeout_ms=30000.0, idempotency_key="contract")
        await until(
            lambda: other.ask(do="custody"),
            lambda table: table["claims"]["waiting"] or table["claims"].get("claimed"),
        )
        platform.resume_work()
        response = await platform.caller.answer(repeat)
        assert (
            response.outcome == "handled"
            and not platform.rows.of("launch", repeat)
            and effects_of(platform, request_id) == 1
        )


@async_test
async def test_a_gateway_that_alone_has_lost_its_connection_to_a_peer_takes_nothing_over(tmp_path):
    """The voters are still connected to that peer, so they refuse the lease of its takeover."""
    async with FailoverPlatform(
        tmp_path, work=1500.0, peers={"silent": Duration(1500.0)}
    ) as platform:
        owner = platform.gates[4]
        request_id = platform.caller.send(owner, "file", 15000.0)
        await platform.until_running(request_id)
        platform.pause_work()
        await platform.until_replicated(owner)
        cut_off = [gate for gate in platform.gates if gate.name in ("g0", "g3")]
        for gate in cut_off:
            platform.proxy.cut([owner.name], [gate.name])
        for gate in cut_off:
            await until(
                lambda gate=gate: gate.ask(do="peers"),
                lambda table: (
                    table
                    and any(
                        row["name"] == owner.name and not row["linked"] for row in table["members"]
                    )
                ),
            )
        platform.resume_work()
        assert (await platform.caller.answer(request_id)).outcome == "handled"
        assert (
            effects_of(platform, request_id) == 1
            and not platform.takeovers_of(owner)
            and not owner.logged("incarnation ended")
        )


@async_test
async def test_a_gateway_cut_off_ends_its_incarnation_and_answers_its_unreplicated_requests(
    tmp_path,
):
    async with FailoverPlatform(tmp_path, work=900.0) as platform:
        owner, other = platform.gates[3], platform.gates[4]
        request_id = platform.caller.send(owner, "file")
        await platform.until_running(request_id)
        await platform.until_replicated(owner)
        platform.proxy.set(owner.name, "*", True, cut=True)
        platform.caller.ends[owner.name].close()  # clients claim only after disconnecting
        response = await platform.caller.answer(platform.caller.claim(other, owner, request_id))
        assert response.outcome == "handled" and effects_of(platform, request_id) == 1
        await until(lambda: owner.ask(do="custody"), lambda table: not table["witnesses"])
        await platform.caller.connect(owner)
        unreplicated = platform.caller.send(owner, "draft")  # accepted by a gateway that is cut off
        platform.proxy.calm()
        assert (await platform.caller.answer(unreplicated)).outcome in ("deferred", "handled")
        await eventually(lambda: owner.logged("incarnation ended"))
        assert request_id not in platform.caller.answers and effects_of(platform, request_id) == 1
