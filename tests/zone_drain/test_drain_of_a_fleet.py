"""A zone drain by several gateways as processes, under load.

Its coordinator is killed, the fleet is partitioned, a neighbour is lost.
"""

import asyncio
import itertools

from fleet import async_test, until
from fleet_and_hosts import FailoverPlatform, eventually

from cherrydoor.protocol import messages as protocol

ZONE = "floor-0"
AFFINITY_KEYS = 48
FUNCTIONS = 24
ZONES = 3
REQUEST_INTERVAL_S = 0.008


class Load:
    """Sessions that go on calling: each affinity key one function, at gateways in turn."""

    def __init__(self, platform, gateways):
        self.platform = platform
        self.gateways = list(gateways)
        self.sent = set()
        self.task = None

    def __enter__(self):
        self.task = asyncio.ensure_future(self.run())
        return self

    async def run(self):
        for count in itertools.count(1):
            key = count % AFFINITY_KEYS
            # each gateway calls every function in time
            gateway = self.gateways[(count + count // AFFINITY_KEYS) % len(self.gateways)]
            if self.is_connected(gateway):
                number = self.platform.caller.send(
                    gateway, "draft", function=f"deed-{key % FUNCTIONS}", document=f"doc-{key}"
                )
                self.sent.add(number)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    def is_connected(self, gateway):
        if gateway.process.returncode is not None:
            return False
        return not self.platform.caller.ends[gateway.name].transport.is_closing()

    def __exit__(self, *_):
        self.task.cancel()

    def outcomes(self):
        return [
            answers[0].outcome
            for number, answers in self.platform.caller.answers.items()
            if number in self.sent
        ]


def hosts_attempted(platform, since=0):
    """The host of each attempt from that record on."""
    records = platform.rows.rows[since:]
    return [record["who"] for record in records if record["what"] == "launch"]


def hosts_in_zone(platform):
    return {host.id for i, host in enumerate(platform.hosts) if i % ZONES == 0}


async def attempts_reach_zone(platform):
    """Until an attempt from now on goes to the zone."""
    since = len(platform.rows.rows)
    await eventually(lambda: set(hosts_attempted(platform, since)) & hosts_in_zone(platform))


async def assert_zone_is_avoided(platform, attempts):
    """None of the next attempts goes to the zone."""
    since = len(platform.rows.rows)
    await eventually(lambda: len(hosts_attempted(platform, since)) > attempts)
    reached = set(hosts_attempted(platform, since)) & hosts_in_zone(platform)
    assert not reached, "steered there once it was empty"


async def command(gateway, what, **options):
    """The answer to an operator's command on the zone."""
    return await gateway.ask(**({"do": "site", "what": what, "site": ZONE} | options))


async def coordinator_in_state(gateways, *wanted):
    """Waits until a living gateway coordinates and is in one of those states; that gateway."""
    found = []

    async def look():
        found.clear()
        for gateway in gateways:
            if gateway.process.returncode is not None:
                continue
            shown = await command(gateway, "show")
            if shown and shown.get("conductor here", {}).get("state") in wanted:
                found.append(gateway)
        return found

    await until(look, bool)
    return found[0]


async def until_shown(gateway, condition):
    """What the gateway shows of the drain as soon as that fits the condition."""
    return await until(lambda: command(gateway, "show"), condition)


def platform_of(folder, **more):
    return FailoverPlatform(folder, gates=6, hosts=9, work=8.0, sites=ZONES, **more)


async def until_functions_are_known(load):
    """Until each function has been called often enough to be known at every gateway."""
    await eventually(lambda: len(load.outcomes()) > 150)


@async_test
async def test_a_zone_is_emptied_while_sessions_go_on_and_is_given_back(tmp_path):
    async with platform_of(tmp_path) as platform:
        gateway = platform.gates[4]
        with Load(platform, platform.gates) as load:
            await until_functions_are_known(load)
            await attempts_reach_zone(platform)
            planned = await command(gateway, "plan")
            assert planned["waves"]
            assert planned["missing"] == 0
            assert planned["told by"]
            hasty = await command(gateway, "plan", within=4.0)
            assert len(hasty["waves"]) <= len(planned["waves"])
            short = await command(gateway, "drain", within=3.0)
            assert "3.5 s at the least" in short["error"]
            assert "error" not in await command(gateway, "drain")
            assert "already" in (await command(gateway, "drain")).get("error", "already")
            coordinator = await coordinator_in_state(platform.gates, "empty")
            await assert_zone_is_avoided(platform, 120)
            assert load.outcomes().count("handled") > 0.97 * len(load.outcomes())
            assert "error" not in await command(coordinator, "undo")
            await attempts_reach_zone(platform)
        assert all(len(answers) == 1 for answers in platform.caller.answers.values())


@async_test
async def test_the_coordinator_is_killed_and_the_next_goes_on_from_the_highest_wave(tmp_path):
    async with platform_of(tmp_path) as platform:
        with Load(platform, platform.gates[:4]) as load:
            await until_functions_are_known(load)
            await command(platform.gates[5], "drain")
            before = await until_shown(
                platform.gates[0],
                lambda shown: shown and shown.get("wave", 0) >= 1 and shown.get("away"),
            )
            await platform.gates[5].kill()
            coordinator = await coordinator_in_state(platform.gates[:5], "empty")
            after = await command(coordinator, "show")
            assert after["number"] > before["number"]
            assert after["wave"] > before["wave"]
            shares = dict(map(tuple, after["away"]))
            assert all(shares.get(function, 0) >= share for function, share in before["away"])
            await assert_zone_is_avoided(platform, 60)


@async_test
async def test_a_partition_without_a_majority_stays_at_its_wave_and_serves(tmp_path):
    async with platform_of(tmp_path) as platform:
        with Load(platform, platform.gates) as load:
            await until_functions_are_known(load)
            await command(platform.gates[0], "drain")
            await until_shown(platform.gates[3], lambda shown: shown and shown.get("away"))
            isolated = platform.gates[5]
            others = platform.gates[:5]
            platform.proxy.cut([isolated.name], [gateway.name for gateway in others])
            before = await command(isolated, "show")
            # not empty while it still sends there, as its hosts report
            await coordinator_in_state(others, "emptying", "empty")
            after = await command(isolated, "show")
            assert (after["number"], after["wave"]) == (before["number"], before["wave"])
            # hosts may hold its incarnation to have ended: then it began another
            await platform.caller.connect(isolated)
            number = platform.caller.send(isolated, "draft", function="deed-1", document="doc-1")
            assert (await platform.caller.answer(number)).outcome == "handled"
            platform.proxy.calm()
            await until_shown(isolated, lambda shown: shown["state"] == "empty")
            await assert_zone_is_avoided(platform, 60)


@async_test
async def test_a_neighbour_lost_in_the_middle_delays_the_next_wave_until_it_is_back(tmp_path):
    async with platform_of(tmp_path) as platform:
        with Load(platform, platform.gates) as load:
            await until_functions_are_known(load)
            lost_hosts = [host for i, host in enumerate(platform.hosts) if i % ZONES == 1]
            await command(platform.gates[0], "drain")
            await until_shown(platform.gates[3], lambda shown: shown and shown.get("wave", 0) >= 1)
            for host in lost_hosts:
                host.kill()
                gone = protocol.Endpoint(host.id, "gone", 0.0, "floor-1")
                platform.endpoint_watch.set(gone)

            async def coordinator_status():
                """What the coordinator shows; {} while there is none."""
                tables = [await command(gateway, "show") for gateway in platform.gates]
                found = [table for table in tables if table and "conductor here" in table]
                return found[0]["conductor here"] if found else {}

            before = await until(
                coordinator_status,
                lambda status: (
                    status and status["why"].startswith("neighbours are lost: floor-1 0")
                ),
            )
            sent = len(load.outcomes())
            await eventually(lambda: len(load.outcomes()) > sent + 200)
            after = await coordinator_status()
            assert after["wave"] == before["wave"]
            assert after["why"] == before["why"]
            for host in lost_hosts:
                await host.start(cold=True)
                ready = protocol.Endpoint(host.id, "ready", host.since, "floor-1")
                platform.endpoint_watch.set(ready)
            await coordinator_in_state(platform.gates, "empty")
        assert all(len(answers) == 1 for answers in platform.caller.answers.values())


@async_test
async def test_a_drain_that_cannot_be_done_is_refused_with_the_reason(tmp_path):
    async with FailoverPlatform(tmp_path, gates=3, hosts=2, work=8.0, sites=1) as platform:
        gateway = platform.gates[0]
        unknown = await command(gateway, "drain", site="nowhere")
        assert "there are floor-0" in unknown["error"]
        assert "no neighbour" in (await command(gateway, "drain"))["error"]
        assert "not being drained" in (await command(gateway, "undo"))["error"]
