"""Zone drains by several gateway processes under load, also with faults during the drain.

The faults: the coordinator is killed, the fleet is partitioned, a neighbour loses its hosts.
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
    """Sends requests until it is closed: one function per affinity key, gateways in turn."""

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
            # shifts by one each round, so that every gateway calls every function
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
    """Returns the host of each attempt from that record on."""
    records = platform.rows.rows[since:]
    return [record["who"] for record in records if record["what"] == "launch"]


def hosts_in_zone(platform):
    return {host.id for i, host in enumerate(platform.hosts) if i % ZONES == 0}


async def attempts_reach_zone(platform):
    """Waits until a new attempt reaches the zone."""
    since = len(platform.rows.rows)
    await eventually(lambda: set(hosts_attempted(platform, since)) & hosts_in_zone(platform))


async def assert_zone_is_avoided(platform, attempts):
    """Asserts that none of the next attempts reaches the zone."""
    since = len(platform.rows.rows)
    await eventually(lambda: len(hosts_attempted(platform, since)) > attempts)
    reached = set(hosts_attempted(platform, since)) & hosts_in_zone(platform)
    assert not reached, "attempts reached the zone although it was empty"


async def command(gateway, what, **options):
    """Sends an operator's command on the zone and returns the answer."""
    return await gateway.ask(**({"do": "site", "what": what, "site": ZONE} | options))


async def coordinator_in_state(gateways, *wanted):
    """Waits until a living gateway coordinates in one of these states; returns the gateway."""
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
    """Waits until the gateway's drain status meets the condition; returns that status."""
    return await until(lambda: command(gateway, "show"), condition)


def platform_of(folder, **more):
    return FailoverPlatform(folder, gates=6, hosts=9, work=8.0, sites=ZONES, **more)


async def until_functions_are_known(load):
    """Waits until each function has been called often enough to be known at every gateway."""
    await eventually(lambda: len(load.outcomes()) > 150)


@async_test
async def test_a_zone_is_emptied_under_load_and_an_undo_moves_sessions_back(tmp_path):
    async with platform_of(tmp_path) as platform:
        gateway = platform.gates[4]
        with Load(platform, platform.gates) as load:
            await until_functions_are_known(load)
            await attempts_reach_zone(platform)
            planned = await command(gateway, "plan")
            assert planned["waves"]
            assert planned["missing"] == 0
            assert planned["told by"]
            shorter = await command(gateway, "plan", within=4.0)
            assert len(shorter["waves"]) <= len(planned["waves"])
            too_short = await command(gateway, "drain", within=3.0)
            assert "at least 3.5 s" in too_short["error"]
            assert "error" not in await command(gateway, "drain")
            assert "already" in (await command(gateway, "drain")).get("error", "already")
            coordinator = await coordinator_in_state(platform.gates, "empty")
            await assert_zone_is_avoided(platform, 120)
            assert load.outcomes().count("handled") > 0.97 * len(load.outcomes())
            assert "error" not in await command(coordinator, "undo")
            await attempts_reach_zone(platform)
        assert all(len(answers) == 1 for answers in platform.caller.answers.values())


@async_test
async def test_after_the_coordinator_is_killed_the_next_continues_from_the_highest_wave(tmp_path):
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
async def test_a_gateway_without_a_quorum_stays_at_its_wave_and_serves(tmp_path):
    async with platform_of(tmp_path) as platform:
        with Load(platform, platform.gates) as load:
            await until_functions_are_known(load)
            await command(platform.gates[0], "drain")
            await until_shown(platform.gates[3], lambda shown: shown and shown.get("away"))
            isolated = platform.gates[5]
            others = platform.gates[:5]
            platform.proxy.cut([isolated.name], [gateway.name for gateway in others])
            before = await command(isolated, "show")
            # hosts report the isolated gateway's attempts, so the zone may stay at emptying
            await coordinator_in_state(others, "emptying", "empty")
            after = await command(isolated, "show")
            assert (after["number"], after["wave"]) == (before["number"], before["wave"])
            # it may have begun another incarnation, if hosts took this one to have ended
            await platform.caller.connect(isolated)
            number = platform.caller.send(isolated, "draft", function="deed-1", document="doc-1")
            assert (await platform.caller.answer(number)).outcome == "handled"
            platform.proxy.calm()
            await until_shown(isolated, lambda shown: shown["state"] == "empty")
            await assert_zone_is_avoided(platform, 60)


@async_test
async def test_a_neighbour_lost_during_a_drain_delays_the_next_wave_until_it_recovers(tmp_path):
    async with platform_of(tmp_path) as platform:
        with Load(platform, platform.gates) as load:
            await until_functions_are_known(load)
            lost_hosts = [host for i, host in enumerate(platform.hosts) if i % ZONES == 1]
            await command(platform.gates[0], "drain")
            await until_shown(platform.gates[3], lambda shown: shown and shown.get("wave", 0) >= 1)
            for host in lost_hosts:
                host.kill()
                gone = protocol.Endpoint(host.id, "gone", 0.0, "floor-1")
                platform.endpoint_watch.set_endpoint(gone)

            async def coordinator_status():
                """Returns the coordinator's status; {} while there is none."""
                tables = [await command(gateway, "show") for gateway in platform.gates]
                found = [table for table in tables if table and "conductor here" in table]
                return found[0]["conductor here"] if found else {}

            before = await until(
                coordinator_status,
                lambda status: (
                    status and status["why"].startswith("neighbours have lost hosts: floor-1 0")
                ),
            )
            sent = len(load.outcomes())
            await eventually(lambda: len(load.outcomes()) > sent + 200)
            after = await coordinator_status()
            assert after["wave"] == before["wave"]
            assert after["why"] == before["why"]
            for host in lost_hosts:
                await host.start(cold=True)
                ready = protocol.Endpoint(host.id, "ready", host.started_at_ms, "floor-1")
                platform.endpoint_watch.set_endpoint(ready)
            await coordinator_in_state(platform.gates, "empty")
        assert all(len(answers) == 1 for answers in platform.caller.answers.values())


@async_test
async def test_an_impossible_drain_is_refused_with_the_reason(tmp_path):
    async with FailoverPlatform(tmp_path, gates=3, hosts=2, work=8.0, sites=1) as platform:
        gateway = platform.gates[0]
        unknown = await command(gateway, "drain", site="nowhere")
        assert "zones with hosts: floor-0" in unknown["error"]
        assert "no neighbour" in (await command(gateway, "drain"))["error"]
        assert "not being drained" in (await command(gateway, "undo"))["error"]
