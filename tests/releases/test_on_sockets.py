"""Releases through a real gateway: the feed, hosts that tell, the operator's socket, and what outlives a start."""

import asyncio
import json

from stack import Host, now, story
from test_process import with_folder

from cherrydoor.fakes.feed import Feed
from cherrydoor.fakes.record import Record
from cherrydoor.protocol import messages as protocol
from cherrydoor.releases import decide as d
from cherrydoor.releases.feed import seal, unseal


class Versioned(Host):
    """Answers at once; versions named in `bad` with errors. It tells tallies as hosts do."""

    def __init__(self, bad=()):
        super().__init__("handled")
        self.bad, self.tallies, self.dropped = bad, {}, []

    def heard(self, end, message):
        if type(message) is not protocol.Attempt:
            if type(message) is protocol.Unload:
                self.dropped.append(message.function)
            return super().heard(end, message)
        self.heard_all.append((end, message))
        self.stir()
        told = self.tallies.setdefault(message.function, [0, 0, 0])
        fate = "error" if message.function in self.bad else "handled"
        told[0] += 1
        told[1] += fate == "error"
        end.write(protocol.AttemptResult(message.id, fate, 1, 0, None, b"", tuple(told)))


async def released(stack, folder, *hosts, start=True):
    """A gateway that follows a feed; the feed."""
    feed = await Feed(Record(None, "feed", "feed"), (0.0, 1.0)).start()
    stack.opened.append(feed)
    feed.ends = ()
    said = (
        f'bounds: {{}}\nreleases: {{feed: "127.0.0.1:{feed.port}", saved: "{folder}/g.releases", '
        f'control: "{folder}/g.sock"}}'
    )
    client = await stack.start(*hosts, bounds=said)
    await stack.settled(lambda: feed.followers)
    return feed, client


async def calls(client, count, function="deed"):
    """So many events, each of a document of its own; the answers."""
    numbers = []
    for i in range(count):
        client.ids += 1
        client.end.write(
            protocol.Request(
                client.ids,
                "draft",
                function,
                4900.0,
                now(),
                affinity_key=f"d{client.ids}",
                copy_concurrency=4.0,
            )
        )
        numbers.append(client.ids)
        if i % 8 == 7:
            await client.answer(client.ids)
    return [await client.answer(number) for number in numbers]


async def asked(folder, **said):
    reader, writer = await asyncio.open_unix_connection(str(folder / "g.sock"))
    writer.write(json.dumps(said).encode() + b"\n")
    answer = json.loads(await asyncio.wait_for(reader.readline(), 20))
    writer.close()
    return answer


@with_folder
async def test_a_good_version_is_loaded_ahead_tried_and_complete(stack, tmp):
    hosts = Versioned(), Versioned()
    feed, client = await released(stack, tmp, *hosts)
    versions = stack.service.releases.versions
    await calls(client, 40)
    feed.release(["deed"], 3)
    await stack.settled(
        lambda: "deed" in versions.lines and versions.lines["deed"].release.state == d.TRIAL
    )
    assert [o.function for h in hosts for o in h.all(protocol.LoadOrder)] == ["deed@3"]
    for _ in range(30):
        assert {a.outcome for a in await calls(client, 50)} == {"handled"}
        if versions.lines["deed"].release.state == d.COMPLETE:
            break
    assert versions.lines["deed"].release.why == "proved"
    before = len([x for h in hosts for x in h.all(protocol.Attempt)])
    await calls(client, 10)
    assert {x.function for h in hosts for x in h.all(protocol.Attempt)[-1:]} >= {
        "deed@3"
    } and before
    await stack.settled(lambda: any("deed" in h.dropped for h in hosts))


@with_folder
async def test_a_version_that_fails_costs_its_events_a_launch_and_is_taken_back(stack, tmp):
    hosts = Versioned({"deed@3"}), Versioned({"deed@3"})
    feed, client = await released(stack, tmp, *hosts)
    line = stack.service.releases.versions.lines
    await calls(client, 40)
    feed.release(["deed"], 3)
    await stack.settled(lambda: "deed" in line and line["deed"].release.state == d.TRIAL)
    fates = []
    while line["deed"].release.state == d.TRIAL and len(fates) < 2000:
        fates += [a.outcome for a in await calls(client, 40)]
    assert line["deed"].release.state == d.WITHDRAWN and set(fates) == {"handled"}, (
        "a repeat went to the old version"
    )
    tries = [x for h in hosts for x in h.all(protocol.Attempt) if x.attempt]
    assert tries and {x.function for x in tries} == {"deed"}
    seen = len([x for h in hosts for x in h.all(protocol.Attempt) if x.function == "deed@3"])
    await calls(client, 100)
    assert (
        len([x for h in hosts for x in h.all(protocol.Attempt) if x.function == "deed@3"]) == seen
    )


@with_folder
async def test_the_operator_shows_holds_withdraws_and_a_start_keeps_it(stack, tmp):
    feed, client = await released(stack, tmp, Versioned())
    await calls(client, 20)
    assert "error" in await asked(tmp, do="hold", function="deed") and "error" in await asked(
        tmp, do="dance"
    )
    feed.release(["deed"], 3)
    versions = stack.service.releases.versions
    await stack.settled(
        lambda: "deed" in versions.lines and versions.lines["deed"].release.state == d.TRIAL
    )
    [row] = (await asked(tmp, do="hold", function="deed"))["releases"]
    assert row["held"] and row["share"] == 0.2 and row["state"] == "trial"
    [row] = (await asked(tmp, do="withdraw", function="deed"))["releases"]
    assert (row["state"], row["why"]) == ("withdrawn", "by hand")
    kept = unseal((tmp / "g.releases").read_bytes())
    again = d.Versions(now())
    again.take_back(kept)
    assert again.choose("deed", "x") == "deed" and again.lines["deed"].ended == {3: "by hand"}


@with_folder
async def test_a_broken_file_is_set_aside_and_the_old_version_called(stack, tmp):
    whole = seal({"deed": {"version": 3, "newest": 3, "ended": {}}})
    (tmp / "g.releases").write_bytes(whole[:-4] + b"9}}}")
    feed, client = await released(stack, tmp, host := Versioned())
    assert (await calls(client, 1))[0].outcome == "handled" and host.all(protocol.Attempt)[
        0
    ].function == "deed"
    assert (tmp / "g.releases.broken").exists()


@with_folder
async def test_a_client_that_names_a_version_itself_is_refused_and_weighs_nothing(stack, tmp):
    feed, client = await released(stack, tmp, host := Versioned())
    assert [(await calls(client, 1, f"deed@{x}"))[0].outcome for x in ("3", "\u00b2", "")] == [
        "dead-lettered"
    ] * 3
    assert (await calls(client, 1))[0].outcome == "handled" and {
        x.function for x in host.all(protocol.Attempt)
    } == {"deed"}


@story
async def test_without_a_feed_nothing_is_named_anew(stack):
    client = await stack.start(host := Versioned())
    await calls(client, 5)
    assert stack.service.releases is None and {x.function for x in host.all(protocol.Attempt)} == {
        "deed"
    }
