"""Files that earlier versions of the program wrote stay readable.

The files in `stored/` were written before names in the code changed.

Expected values are compared by position. Where a writer is deterministic, the test also compares
the bytes that it writes. Certificates contain random numbers and Parquet files contain the
library's version, so these are compared by content. The keys in `stored/keys` were made only for
this test; their certificates are valid for a century.
"""

import json
import shutil
from dataclasses import astuple
from datetime import UTC, datetime
from math import inf
from pathlib import Path
from types import SimpleNamespace

import jwt
import msgspec
import pyarrow.parquet as parquet
import pytest

from cherrydoor.config import figures as configuration
from cherrydoor.fakes import record
from cherrydoor.gateway.endpoint_watch import EndpointWatch
from cherrydoor.leader_election import messages as election
from cherrydoor.leader_election import vote_store
from cherrydoor.protocol import messages
from cherrydoor.rehearsal import day as rehearsal_day
from cherrydoor.rehearsal import seen
from cherrydoor.releases import release, state_file
from cherrydoor.releases.controller import RolloutController
from cherrydoor.releases.messages import ReleaseState
from cherrydoor.routing import messages as interface
from cherrydoor.tls import credential_files as key_files
from cherrydoor.tls.local_authority import LocalAuthority
from cherrydoor.tls.peer_authentication import TOKEN_AUDIENCE
from cherrydoor.tls.tls_context import make_context

STORED = Path(__file__).with_name("stored")
NOW = 1_700_000_000_000.0

VOTES = election.Votes(
    7,
    {
        "drain zone-1": election.Vote(12, "g1", 3000.5, 2500.0),
        "in hand of g2": election.Vote(13),
    },
)
HOSTS = [
    messages.Endpoint("10.0.0.1:4001", "draining", 1700000000000.5, "zone-1", 3),
    messages.Endpoint("10.0.0.2:4001", "ready"),
]
TRAFFIC = [
    (
        1.5,
        "client",
        "c1",
        "g0",
        "sent",
        1,
        2,
        0,
        "deed-00001",
        "draft",
        "harbour",
        "",
        "",
        2500.5,
        0.0,
        0.0,
        "",
    ),
    (
        2.5,
        "host",
        "h1",
        "g0",
        "launch",
        3,
        2,
        1,
        "deed-00001",
        "draft",
        "",
        "mark-1",
        "",
        1.0,
        2.0,
        3.0,
        "g1",
    ),
    (
        9.25,
        "client",
        "c2",
        "g0",
        "answer",
        1,
        2,
        0,
        "",
        "",
        "",
        "",
        "handled",
        7.75,
        0.0,
        0.0,
        "reason",
    ),
]
KEYS_MADE = datetime(2026, 1, 1, tzinfo=UTC)
KEYS_BEGIN = KEYS_MADE.timestamp() * 1000 - 300_000.0
CENTURY = 36_500.0
KEYS_END = KEYS_MADE.timestamp() * 1000 + CENTURY * 86_400_000.0
AUTHORITY_NAMES = ["cherrydoor authority 1", "cherrydoor authority 2"]


def leaves(value):
    """Returns the plain values nested in a value, in order and without field names."""
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list | tuple):
        return [value]
    return [leaf for inner in value for leaf in leaves(inner)]


def host_list(path, rows=()):
    service = SimpleNamespace(dispatcher=SimpleNamespace(endpoints=lambda: list(rows)))
    return EndpointWatch(service, "127.0.0.1:1", path, False)


def restored_versions(data):
    restored = RolloutController(NOW)
    restored.restore(state_file.unseal(data))
    return restored


# ---- leader election
def test_stored_votes_are_read():
    found = vote_store.decode_votes("g0", (STORED / "votes").read_bytes())
    assert msgspec.structs.astuple(found)[0] == 7
    assert found == VOTES


def test_votes_are_written_as_before(tmp_path):
    path = tmp_path / "votes"
    vote_store.write_synced(path, vote_store.encode_votes("g0", VOTES))
    assert path.read_bytes() == (STORED / "votes").read_bytes()


def test_stored_votes_of_another_voter_are_refused():
    with pytest.raises(vote_store.InvalidVoteFileError):
        vote_store.decode_votes("g1", (STORED / "votes").read_bytes())


# ---- releases
def test_stored_releases_are_read():
    restored = restored_versions((STORED / "releases").read_bytes())
    rows = [tuple(row.values()) for row in restored.table()]
    assert rows == [
        (
            "deed-00001",
            5,
            4,
            ReleaseState.CANARY,
            release.TRAFFIC_SHARES[2],
            True,
            "held by hand",
            0.0,
            [1, 40, 3, 160],
            [2, 39, 4, 159],
            [0, 41, 1, 161],
        ),
        (
            "deed-00003",
            2,
            1,
            ReleaseState.ANNOUNCED,
            0.0,
            False,
            "",
            0.0,
            [0, 0, 0, 0],
            [0, 0, 0, 0],
            [0, 0, 0, 0],
        ),
    ]


def test_releases_are_written_as_before():
    data = (STORED / "releases").read_bytes()
    assert state_file.seal(restored_versions(data).stored()) == data


# ---- the endpoint list
def test_stored_host_list_is_read():
    found = host_list(STORED / "hosts").read_saved()
    assert [msgspec.structs.astuple(row) for row in found] == [
        ("10.0.0.1:4001", "draining", 1700000000000.5, "zone-1", 3),
        ("10.0.0.2:4001", "ready", 0.0, "", 0),
    ]


def test_host_list_is_written_as_before(tmp_path):
    path = tmp_path / "hosts"
    host_list(path, HOSTS).save()
    assert path.read_bytes() == (STORED / "hosts").read_bytes()


# ---- keys
def test_stored_authorities_are_read():
    _, found, _ = key_files.read_authorities(STORED / "keys" / "authorities.pem")
    assert [astuple(one)[1:] for one in found] == [
        (name, KEYS_BEGIN, KEYS_END) for name in AUTHORITY_NAMES
    ]


@pytest.mark.parametrize("name", ["g0", "h1", "harbour", "meadow"])
def test_stored_pairs_are_read_and_make_contexts(name):
    folder = STORED / "keys"
    _, facts, chain, secret = key_files.read_pair(folder / f"{name}.pem", folder / f"{name}.key")
    assert astuple(facts)[1:] == (name, KEYS_BEGIN, KEYS_END, True)
    _, _, trusted = key_files.read_authorities(folder / "authorities.pem")
    context = make_context(True, chain, secret, trusted)
    assert len(context.get_ca_certs()) == 2


def test_stored_revocations_are_read():
    folder = STORED / "keys"
    _, _, trusted = key_files.read_authorities(folder / "authorities.pem")
    _, found = key_files.read_revocations(folder / "revoked.pem", trusted)
    _, facts, _, _ = key_files.read_pair(folder / "meadow.pem", folder / "meadow.key")
    assert [astuple(one)[1:] for one in found] == [
        (1, frozenset(), True),
        (1, frozenset([astuple(facts)[0]]), True),
    ]


def test_stored_token_keys_are_read_and_the_stored_token_holds():
    _, facts, keys = key_files.read_token_keys(STORED / "keys" / "tokens.jwks")
    assert [astuple(one) for one in facts] == [("all", ()), ("one", ("harbour", "meadow"))]
    token = (STORED / "keys" / "token.txt").read_text()
    said = jwt.decode(
        token, keys["one"], ["EdDSA"], audience=TOKEN_AUDIENCE, options={"verify_iat": False}
    )
    assert said["sub"] == "harbour"


def test_a_stored_folder_of_keys_is_carried_on(tmp_path):
    path = tmp_path / "keys"
    shutil.copytree(STORED / "keys", path)
    folder = LocalAuthority(path, KEYS_MADE)
    folder.issue("client", "newcomer", CENTURY)
    folder.revoke("newcomer")
    folder.token_key("another")
    assert folder.token("all", "harbour", CENTURY).count(".") == 2
    _, _, trusted = key_files.read_authorities(path / "authorities.pem")
    _, found = key_files.read_revocations(path / "revoked.pem", trusted)
    assert [len(astuple(one)[2]) for one in found] == [0, 2]
    assert [astuple(one)[0] for one in key_files.read_token_keys(path / "tokens.jwks")[1]] == [
        "all",
        "one",
        "another",
    ]


# ---- recorded traffic
def test_recorded_traffic_keeps_its_columns():
    expected = json.loads((STORED / "columns.json").read_text())
    assert [[field.name, str(field.type)] for field in record.SCHEMA] == expected
    stored = parquet.read_schema(STORED / "traffic" / "traffic.parquet")
    assert stored.equals(record.SCHEMA)


def test_stored_traffic_is_read():
    found = seen.Seen(STORED / "traffic")
    rows = [
        *found.of("client", "sent"),
        *found.of("host", "launch"),
        *found.of("client", "answer"),
    ]
    assert [tuple(row.values()) for row in rows] == TRAFFIC


def test_traffic_is_recorded_as_before(tmp_path):
    for row in TRAFFIC:
        when, end, who, peer, what, *rest = row
        recorder = record.Record(tmp_path, end, who)
        recorder.add(what, who, peer, *rest, when)
        recorder.over.set()
        recorder.thread.join()
        recorder.flush()
    tables = sorted(
        (parquet.read_table(path) for path in tmp_path.iterdir()),
        key=lambda table: table["t"][0].as_py(),
    )
    stored = parquet.read_table(STORED / "traffic" / "traffic.parquet")
    assert all(table.schema.equals(stored.schema) for table in tables)
    assert [row for table in tables for row in table.to_pylist()] == stored.to_pylist()


# ---- configuration
def expected_settings():
    """Returns the decision module's settings in the stored configuration, by position."""
    classes = (
        interface.RequestClass(
            "draft", 750.0, 2500.0, interface.RetrySafety.IDEMPOTENT, "all", 0.0, False
        ),
        interface.RequestClass(
            "sign-off",
            1000.0,
            180000.0,
            interface.RetrySafety.IDEMPOTENCY_KEY,
            "zone",
            5000.0,
            False,
        ),
        interface.RequestClass(
            "archive", 1000.0, 3000.0, interface.RetrySafety.AT_MOST_ONCE, "all", 0.0, True
        ),
    )
    tenants = (interface.Tenant("harbour", 110.0), interface.Tenant("meadow", 80.5))
    return interface.Settings(
        2,
        5,
        7,
        "zone-1",
        1.0,
        classes,
        tenants,
        True,
        6,
        True,
        True,
        True,
        1500.0,
        0.25,
        8000.0,
        3.0,
        2000.0,
        4000.0,
        True,
        False,
        4.0,
        0.02,
        5000.0,
        True,
        False,
    )


@pytest.mark.parametrize("name", ["gateway.lease", "shown.lease"])
def test_stored_configuration_is_read(name):
    found = configuration.read_config(STORED / name)
    assert found.lease == expected_settings()
    limits = [40.0, 20000, 50, 4, 250.0, 15000.0, 250.0, 10000.0, 300.0, (True, False), inf, 0.0]
    assert sorted(map(repr, vars(found.limits).values())) == sorted(map(repr, limits))
    sizes = [4096, 32 * 2**20, 64 * 2**20, 65536, 15000.0]
    assert list(vars(found.bounds).values()) == sizes


@pytest.mark.parametrize("name", ["gateway.lease", "shown.lease"])
def test_every_value_of_the_stored_configuration_is_read(name):
    expected = json.loads((STORED / "gateway.values.json").read_text())
    found = configuration.bare(configuration.read_file(STORED / name))
    assert leaves(found) == expected


# ---- scenarios of a rehearsal
@pytest.mark.parametrize("name", ["small", "quick"])
def test_stored_scenario_is_read(name):
    expected = json.loads((STORED / f"{name}.values.json").read_text())
    found = rehearsal_day.read_day(STORED / f"{name}.day")
    assert leaves(found) == expected


@pytest.mark.parametrize("name", ["small", "quick"])
def test_terms_for_the_audit_are_recorded_as_before(name):
    scenario = rehearsal_day.read_day(STORED / f"{name}.day")
    assert (
        json.dumps(rehearsal_day.terms(scenario))
        == (STORED / f"{name}.terms.json").read_text().strip()
    )
