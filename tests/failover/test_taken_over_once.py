"""Work in hand outlives its gateway and is taken over once: gateways are killed, stopped and cut off in mid-act."""

import signal

from fleet import story, until
from fleet_and_hosts import Town, come

from cherrydoor.config.records import Duration
from cherrydoor.protocol import failover as custody


def ran(town, event):
    """How often an event had its effect, over all hosts."""
    return len(town.rows.of("effect", event))


@story
async def test_what_is_at_work_when_its_gateway_is_killed_is_adopted_and_its_answer_claimed(
    tmp_path,
):
    async with Town(tmp_path) as town:
        giver, other = town.gates[3], town.gates[4]
        numbers = [town.caller.send(giver, clause) for clause in ("file", "sign", "draft")]
        for number in numbers:
            await town.at_work(number)
        town.hold()
        await town.entrusted(giver)
        await giver.kill()
        claims = [town.caller.claim(other, giver, number) for number in numbers]
        await come(lambda: len(town.rows.of("adopt")) == 3)
        town.hold(False)
        for number, claim in zip(numbers, claims, strict=True):
            said = await town.caller.answer(claim)
            assert said.outcome == "handled" and said.body == b"xxxx", said
            assert ran(town, number) == 1 and len(town.rows.of("launch", number)) == 1
        assert len(town.heirs(giver)) == 1


@story
async def test_nobody_reads_anothers_answer_and_what_was_never_entrusted_is_not_known(tmp_path):
    async with Town(tmp_path) as town:
        giver, other = town.gates[3], town.gates[4]
        number = town.caller.send(giver, "file")
        await town.at_work(number)
        await town.entrusted(giver)
        await giver.kill()
        for claim in (
            town.caller.claim(other, giver, number, "guessed"),
            town.caller.claim(other, giver, number, ""),
            town.caller.claim(other, giver, number + 1000),
        ):
            assert type(await town.caller.answer(claim)) is custody.ResponseUnknown
        assert (
            await town.caller.answer(town.caller.claim(other, giver, number))
        ).outcome == "handled"


@story
async def test_what_had_ended_unheard_is_answered_and_not_run_again(tmp_path):
    """The giver is stopped while the host answers it: the answer lies in its socket and is nobody's but the heir's."""
    async with Town(tmp_path) as town:
        giver, other = town.gates[3], town.gates[4]
        number = town.caller.send(giver, "file")
        await town.at_work(number)
        await town.entrusted(giver)
        giver.signal(signal.SIGSTOP)
        await come(lambda: town.rows.of("outcome", number))
        said = await town.caller.answer(town.caller.claim(other, giver, number))
        assert said.outcome == "handled" and ran(town, number) == 1
        # it wakes: its life is over, it answers nothing of it, and its client hears no second answer
        giver.signal(signal.SIGCONT)
        await come(lambda: giver.logged("this life is over"))
        await come(lambda: town.caller.ends[giver.name] in town.caller.lost_ends)
        assert number not in town.caller.answers
        await town.together()
        again = await town.caller.connect(giver)
        assert again.reader.hello.incarnation > 0
        assert (await town.caller.answer(town.caller.send(giver, "draft"))).outcome == "handled"


@story
async def test_a_second_heir_starts_from_the_hosts_word_under_a_higher_number(tmp_path):
    async with Town(tmp_path, gates=6) as town:
        giver = town.gates[5]
        number = town.caller.send(giver, "file", lasts=30000.0)
        await town.at_work(number)
        town.hold()
        await town.entrusted(giver)
        await giver.kill()
        await come(lambda: town.rows.of("adopt", number))
        first = next(
            gate for gate in town.gates if gate.name == town.rows.of("adopt", number)[0]["peer"]
        )
        await first.kill()
        await come(lambda: len(town.rows.of("adopt", number)) == 2)
        town.hold(False)
        other = next(gate for gate in town.gates if gate not in (giver, first))
        said = await town.caller.answer(town.caller.claim(other, giver, number, lasts=30000.0))
        assert said.outcome == "handled" and ran(town, number) == 1
        told = [
            row["number"]
            for row in town.rows.of("over")
            if row["who"] == town.hosts[0].id and row["text"] == giver.name
        ]
        assert len(told) == 2 and told[0] < told[1]


@story
async def test_what_never_reached_a_host_is_launched_anew(tmp_path):
    """Its launch is held between the gateway and the hosts; what comes out of there later is refused."""
    async with Town(tmp_path, work=50.0) as town:
        giver, other = town.gates[3], town.gates[4]
        town.relay.set(giver.name, "h", hold=True)
        number = town.caller.send(giver, "file")
        await until(
            lambda: giver.ask(do="custody"),
            lambda said: said and said["in hand"] and not said["untold ms"],
        )
        await come(lambda: town.relay.counts.get("held"))
        await giver.kill()
        said = await town.caller.answer(town.caller.claim(other, giver, number))
        assert said.outcome == "handled" and ran(town, number) == 1
        assert town.rows.of("launch", number)[0]["peer"] != giver.name


@story
async def test_a_host_that_does_not_say_leaves_an_at_most_once_event_in_doubt_and_it_is_not_run(
    tmp_path,
):
    async with Town(tmp_path, work=1500.0) as town:
        giver, other = town.gates[3], town.gates[4]
        numbers = {clause: town.caller.send(giver, clause) for clause in ("file", "draft")}
        for number in numbers.values():
            await town.at_work(number)
        await town.entrusted(giver)
        for gate in town.gates:
            if gate is not giver:
                town.relay.set(gate.name, "h", hold=True)  # nobody's question comes through
        await giver.kill()
        said = await town.caller.answer(town.caller.claim(other, giver, numbers["file"]))
        assert said.outcome == "dead-lettered" and "may have run" in said.reason
        assert ran(town, numbers["file"]) <= 1 and len(town.rows.of("launch", numbers["file"])) == 1


@story
async def test_a_plain_repeat_of_what_is_being_taken_over_waits_for_that_one(tmp_path):
    async with Town(tmp_path) as town:
        giver, other = town.gates[3], town.gates[4]
        number = town.caller.send(giver, "file", lasts=30000.0, mark="contract")
        await town.at_work(number)
        town.hold()
        await town.entrusted(giver)
        await giver.kill()
        await come(lambda: town.rows.of("adopt", number))
        for gate in town.gates[:3]:
            await until(
                lambda gate=gate: gate.ask(do="peers"),
                lambda said: any(
                    row["name"] == giver.name and row["state"] == "over" for row in said["members"]
                ),
            )
        repeat = town.caller.send(other, "file", lasts=30000.0, mark="contract")
        await until(
            lambda: other.ask(do="custody"),
            lambda said: said["claims"]["waiting"] or said["claims"].get("claimed"),
        )
        town.hold(False)
        said = await town.caller.answer(repeat)
        assert (
            said.outcome == "handled"
            and not town.rows.of("launch", repeat)
            and ran(town, number) == 1
        )


@story
async def test_a_gateway_that_lost_sight_of_one_peer_alone_takes_nothing_over(tmp_path):
    """Keepers hear that one: they grant nobody its estate."""
    async with Town(tmp_path, work=1500.0, peers={"silent": Duration(1500.0)}) as town:
        giver = town.gates[4]
        number = town.caller.send(giver, "file", 15000.0)
        await town.at_work(number)
        town.hold()
        await town.entrusted(giver)
        blind = [gate for gate in town.gates if gate.name in ("g0", "g3")]
        for gate in blind:
            town.relay.cut([giver.name], [gate.name])
        for gate in blind:
            await until(
                lambda gate=gate: gate.ask(do="peers"),
                lambda said: (
                    said
                    and any(
                        row["name"] == giver.name and not row["linked"] for row in said["members"]
                    )
                ),
            )
        town.hold(False)
        assert (await town.caller.answer(number)).outcome == "handled"
        assert (
            ran(town, number) == 1
            and not town.heirs(giver)
            and not giver.logged("this life is over")
        )


@story
async def test_a_gateway_cut_off_in_mid_act_finds_its_life_over_and_answers_what_nobody_heard_of(
    tmp_path,
):
    async with Town(tmp_path, work=900.0) as town:
        giver, other = town.gates[3], town.gates[4]
        number = town.caller.send(giver, "file")
        await town.at_work(number)
        await town.entrusted(giver)
        town.relay.set(giver.name, "*", True, cut=True)
        town.caller.ends[giver.name].close()  # a client claims once it has let go, and not before
        said = await town.caller.answer(town.caller.claim(other, giver, number))
        assert said.outcome == "handled" and ran(town, number) == 1
        await until(lambda: giver.ask(do="custody"), lambda said: not said["witnesses"])
        await town.caller.connect(giver)
        unheard = town.caller.send(giver, "draft")  # taken by a gateway that nobody hears
        town.relay.calm()
        assert (await town.caller.answer(unheard)).outcome in ("deferred", "handled")
        await come(lambda: giver.logged("this life is over"))
        assert number not in town.caller.answers and ran(town, number) == 1
