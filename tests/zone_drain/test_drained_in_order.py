"""A site is drained by several gateways as processes, under load; its conductor is killed, the fleet is cut in two."""

import asyncio

from fleet import story, until
from fleet_and_hosts import Town, come

from cherrydoor.protocol import messages as protocol

SITE = "floor-0"
DOCUMENTS, FUNCTIONS = 48, 24


class Load:
    """Sessions that go on calling: each document one function, at gateways in turn."""

    def __init__(self, town, gates):
        self.town, self.gates, self.sent, self.task = town, list(gates), {}, None

    def __enter__(self):
        self.task = asyncio.ensure_future(self.run())
        return self

    async def run(self):
        turn = 0
        while True:
            turn += 1
            document = turn % DOCUMENTS
            gate = self.gates[
                (turn + turn // DOCUMENTS) % len(self.gates)
            ]  # each calls every function in time
            if (
                gate.process.returncode is None
                and not self.town.caller.ends[gate.name].transport.is_closing()
            ):
                number = self.town.caller.send(
                    gate,
                    "draft",
                    function=f"deed-{document % FUNCTIONS}",
                    document=f"doc-{document}",
                )
                self.sent[number] = document
            await asyncio.sleep(0.008)

    def __exit__(self, *_):
        self.task.cancel()

    def fates(self):
        return [
            answers[0].outcome
            for number, answers in self.town.caller.answers.items()
            if number in self.sent
        ]


def launches(town, since=0):
    """(event, host) of launches from that row on."""
    return [(row["event"], row["who"]) for row in town.rows.rows[since:] if row["what"] == "launch"]


def at_site(town):
    return {host.id for i, host in enumerate(town.hosts) if i % 3 == 0}


async def state(town, gates, *wanted):
    """Until a living gateway that conducts says that it is one of those; that gateway."""
    found = []

    async def look():
        found.clear()
        for gate in gates:
            said = (
                await gate.ask(do="site", what="show", site=SITE)
                if gate.process.returncode is None
                else None
            )
            if said and said.get("conductor here", {}).get("state") in wanted:
                found.append(gate)
        return found

    await until(look, bool)
    return found[0]


def town(folder, **more):
    return Town(folder, gates=6, hosts=9, work=8.0, sites=3, **more)


async def warm(town, load):
    """Until each function has been called often enough to be known at every gateway."""
    await come(lambda: len(load.fates()) > 150)


@story
async def test_a_site_is_emptied_while_sessions_go_on_and_is_given_back(tmp_path):
    async with town(tmp_path) as here:
        with Load(here, here.gates) as load:
            await warm(here, load)
            before = len(here.rows.rows)
            await come(lambda: {host for _, host in launches(here, before)} & at_site(here))
            said = await here.gates[4].ask(do="site", what="plan", site=SITE)
            assert said["waves"] and said["missing"] == 0 and said["told by"]
            hasty = await here.gates[4].ask(do="site", what="plan", site=SITE, within=4.0)
            assert len(hasty["waves"]) <= len(said["waves"])
            short = await here.gates[4].ask(do="site", what="drain", site=SITE, within=3.0)
            assert "3.5 s at the least" in short["error"]
            assert "error" not in await here.gates[4].ask(do="site", what="drain", site=SITE)
            assert "already" in (await here.gates[4].ask(do="site", what="drain", site=SITE)).get(
                "error", "already"
            )
            conductor = await state(here, here.gates, "empty")
            since = len(here.rows.rows)
            await come(lambda: len(launches(here, since)) > 120)
            assert not {host for _, host in launches(here, since)} & at_site(here), (
                "steered there once it was empty"
            )
            assert load.fates().count("handled") > 0.97 * len(load.fates())
            assert "error" not in await conductor.ask(do="site", what="undo", site=SITE)
            since = len(here.rows.rows)
            await come(lambda: {host for _, host in launches(here, since)} & at_site(here))
        assert all(len(answers) == 1 for answers in here.caller.answers.values())


@story
async def test_the_conductor_is_killed_and_the_next_goes_on_from_the_highest_wave(tmp_path):
    async with town(tmp_path) as here:
        with Load(here, here.gates[:4]) as load:
            await warm(here, load)
            await here.gates[5].ask(do="site", what="drain", site=SITE)
            seen = await until(
                lambda: here.gates[0].ask(do="site", what="show", site=SITE),
                lambda said: said and said.get("wave", 0) >= 1 and said.get("away"),
            )
            await here.gates[5].kill()
            conductor = await state(here, here.gates[:5], "empty")
            said = await conductor.ask(do="site", what="show", site=SITE)
            assert said["number"] > seen["number"] and said["wave"] > seen["wave"]
            shares = dict(map(tuple, said["away"]))
            assert all(
                shares.get(function, 0) >= share for function, share in map(tuple, seen["away"])
            )
            since = len(here.rows.rows)
            await come(lambda: len(launches(here, since)) > 60)
            assert not {host for _, host in launches(here, since)} & at_site(here)


@story
async def test_a_part_without_a_majority_stays_at_its_wave_and_serves(tmp_path):
    async with town(tmp_path) as here:
        with Load(here, here.gates) as load:
            await warm(here, load)
            await here.gates[0].ask(do="site", what="drain", site=SITE)
            await until(
                lambda: here.gates[3].ask(do="site", what="show", site=SITE),
                lambda said: said and said.get("away"),
            )
            alone, rest = here.gates[5], here.gates[:5]
            here.relay.cut([alone.name], [gate.name for gate in rest])
            stood = await alone.ask(do="site", what="show", site=SITE)
            await state(
                here, rest, "emptying", "empty"
            )  # not empty while it still sends there, as its hosts say
            now_ = await alone.ask(do="site", what="show", site=SITE)
            assert (now_["number"], now_["wave"]) == (stood["number"], stood["wave"])
            await here.caller.connect(
                alone
            )  # hosts may hold its life to be over: then it began another
            number = here.caller.send(alone, "draft", function="deed-1", document="doc-1")
            assert (await here.caller.answer(number)).outcome == "handled"
            here.relay.calm()
            await until(
                lambda: alone.ask(do="site", what="show", site=SITE),
                lambda said: said["state"] == "empty",
            )
            since = len(here.rows.rows)
            await come(lambda: len(launches(here, since)) > 60)
            assert not {host for _, host in launches(here, since)} & at_site(here)


@story
async def test_a_neighbour_lost_in_the_middle_holds_the_next_wave_until_it_is_back(tmp_path):
    async with town(tmp_path) as here:
        with Load(here, here.gates) as load:
            await warm(here, load)
            lost = [host for i, host in enumerate(here.hosts) if i % 3 == 1]
            await here.gates[0].ask(do="site", what="drain", site=SITE)
            await until(
                lambda: here.gates[3].ask(do="site", what="show", site=SITE),
                lambda said: said and said.get("wave", 0) >= 1,
            )
            for host in lost:
                host.kill()
                here.endpoint_watch.set(protocol.Endpoint(host.id, "gone", 0.0, "floor-1"))

            async def told():
                """What whoever conducts says of it."""
                words = [await gate.ask(do="site", what="show", site=SITE) for gate in here.gates]
                return next(
                    (said["conductor here"] for said in words if said and "conductor here" in said),
                    {},
                )

            stood = await until(
                told, lambda said: said and said["why"].startswith("neighbours are lost: floor-1 0")
            )
            sent = len(load.fates())
            await come(lambda: len(load.fates()) > sent + 200)
            after = await told()
            assert after["wave"] == stood["wave"] and after["why"] == stood["why"]
            for host in lost:
                await host.start(cold=True)
                here.endpoint_watch.set(protocol.Endpoint(host.id, "ready", host.since, "floor-1"))
            await state(here, here.gates, "empty")
        assert all(len(answers) == 1 for answers in here.caller.answers.values())


@story
async def test_what_cannot_be_drained_is_refused_and_says_why(tmp_path):
    async with Town(tmp_path, gates=3, hosts=2, work=8.0, sites=1) as here:
        gate = here.gates[0]
        assert (
            "there are floor-0"
            in (await gate.ask(do="site", what="drain", site="nowhere"))["error"]
        )
        assert "no neighbour" in (await gate.ask(do="site", what="drain", site=SITE))["error"]
        assert "not being drained" in (await gate.ask(do="site", what="undo", site=SITE))["error"]
