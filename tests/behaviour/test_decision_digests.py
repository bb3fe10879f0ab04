"""Digests of the decisions in seeded histories, independent of the code's names and structure.

A changed digest means that a decision has changed. Only names.py uses names of the code under test.
"""

import names as n
import pyarrow.parquet as pq
import pytest
from canonical import Canonical
from decision_stories import DISPATCHER_STORIES, STORIES
from dispatcher_world import DispatcherWorld
from module_world import ModuleWorld

MODULE_DIGESTS = {
    "hosts replaced, lists late and by changes": "0d1ea502aaad748eb31365584984b8520c4faf523d5f96a024bc9d7b160f56d4",
    "a cold fleet that falls under load": "f1a6c587774e72e9e4cef41ba8f11c19622dc54b308050d13e81a3f621be3242",
    "many gateways, answers tell neither copies nor crowds": "266ec17027866eb7ffd34206d8ba0daa61d370298210d1c6b25499a86ab37d25",
    "overload by tenants of unlike shares": "5955a3fc785faa1207618cfb3fe7c7739459ff9b3dab3430f730a50c3ed596f2",
    "a drained zone, functions foreseen": "c53cb6f34d78d11b9ed44fdef5b211b1225aac183c07c2390f783757d4490aef",
    "hosts that answer missing, lists asked for and failed": "820f4046ab0c850322a9ceaa4613f70a73bd1702340c579c5e07d349e1c3f715",
    "neither recalls nor probes nor orders, many unanswered": "6724da7db52e6f9e87ff707c2aaffbfae980b9881c1111d1d2cf47427ba8386a",
    "many gateways, hedged, many silent hosts": "a9ac8d2d5101b6ee40913865d6bd7b5a455b1789ab8b3edb8ad9088853d80118",
}


@pytest.fixture(scope="module")
def played():
    return {name: ModuleWorld(seed, said).play() for name, (seed, said) in STORIES.items()}


@pytest.mark.parametrize("name", STORIES)
def test_module_decides_as_before(played, name):
    assert played[name].told > 2000
    assert played[name].canonical.digest() == MODULE_DIGESTS[name]


def test_module_histories_cover_every_action_and_outcome(played):
    counts = {
        kind: sum(world.canonical.counters[kind] for world in played.values())
        for kind in range(1, 9)
    }
    least = {
        n.LAUNCH: 10000,
        n.RECALL: 40,
        n.DEFER: 1000,
        n.DEAD_LETTER: 200,
        n.RING: 1000,
        n.PROBE: 100,
        n.ORDER: 500,
        n.SUBSCRIBE: 2,
    }
    assert all(counts[kind] >= least[kind] for kind in least), counts
    fates = set().union(*(world.fates for world in played.values()))
    assert fates == {
        n.HANDLED,
        n.ERROR,
        n.FULL,
        n.NO_ANSWER,
        n.NO_CONNECTION,
        n.LOST,
        n.RECALLED,
        n.UNSENT,
        n.MISSING,
    }


DISPATCHER_DIGESTS = {
    "faults of every kind": "54acec1990fb1d58b44e519b52a557c8aee9eaa356fe96b6d9c6b9bd9a59eec9",
    "asked lists, few open requests, overload": "e39dee49886fdc03710ed7d17bb1e428bb270ec54006f68cc6fd8c88f5211853",
}
DISPATCHER_COUNTS = {
    "faults of every kind": [
        1,
        3,
        3,
        4,
        17,
        17,
        26,
        29,
        71,
        90,
        100,
        108,
        188,
        199,
        423,
        1366,
        1506,
        1876,
    ],
    "asked lists, few open requests, overload": [
        1,
        3,
        6,
        17,
        17,
        19,
        21,
        24,
        30,
        32,
        42,
        50,
        53,
        100,
        187,
        699,
        769,
        879,
        1624,
    ],
}


@pytest.fixture(scope="module")
def dispatched():
    return {
        name: DispatcherWorld(seed, said).play()
        for name, (seed, said) in DISPATCHER_STORIES.items()
    }


def counts_by_size(world):
    """Returns the sorted counter values without zeros; counter names may change."""
    return sorted(value for value in n.dispatcher_counts(world.dispatcher).values() if value)


@pytest.mark.parametrize("name", DISPATCHER_STORIES)
def test_dispatcher_writes_dials_and_closes_as_before(dispatched, name):
    assert dispatched[name].inputs > 2000
    assert n.open_requests(dispatched[name].dispatcher) == 0
    assert dispatched[name].canonical.digest() == DISPATCHER_DIGESTS[name]


@pytest.mark.parametrize("name", DISPATCHER_STORIES)
def test_dispatcher_counts_as_before(dispatched, name):
    assert counts_by_size(dispatched[name]) == DISPATCHER_COUNTS[name]


def test_dispatcher_histories_cover_every_message(dispatched):
    counts = {
        kind.number: sum(world.canonical.counters[kind.number] for world in dispatched.values())
        for kind in n.WIRE_KINDS.values()
    }
    assert all(counts[kind] >= 5 for kind in counts), counts
    assert counts[n.WIRE_ANSWER] > 2000 and counts[n.WIRE_LAUNCH] > 2000, counts


PLAY_DIGESTS = {
    1: "4ee4354482b3609942a39eb1f918ed95a652905db944024a1869e2ba0acb9988",
    2: "14d9e2129e701f2bac88244f68f21913d27e2be4fbb7a9b1918e355faac776d1",
}


def traffic_in_order(folder):
    """Returns rows as lists of values, by time, then by kind of recorder, then as recorded."""
    files = sorted(
        (folder / "traffic").glob("*.parquet"), key=lambda path: path.stem.rsplit("-", 1)[1]
    )
    rows = []
    for path in files:
        rows.extend(list(row.values()) for row in pq.read_table(path).to_pylist())
    return sorted(rows, key=lambda row: (row[0], n.PLAY_ENDS[row[1]]))


def digest_of_traffic(rows):
    """Digests the rows: words as numbers, other names numbered by first appearance."""
    canonical = Canonical({}, {})
    for row in rows:
        formed = []
        for position, value in enumerate(row):
            if position in n.PLAY_WORDS:
                formed.append(n.PLAY_WORDS[position][value])
            elif isinstance(value, str) and position != n.PLAY_FREE_TEXT:
                formed.append(canonical.form_of_token(value))
            elif position != n.PLAY_FREE_TEXT:
                formed.append(value)
        canonical.add(*formed)
    return canonical.digest()


@pytest.mark.parametrize("seed", [1, 2])
def test_emulated_play_has_the_same_traffic_as_before(seed, tmp_path):
    day = tmp_path / "small.day"
    day.write_text(n.PLAY_DAY)
    n.play_day(day, seed, tmp_path / "out")
    rows = traffic_in_order(tmp_path / "out")
    assert len(rows) > 1000
    assert digest_of_traffic(rows) == PLAY_DIGESTS[seed]
