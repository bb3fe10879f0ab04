"""Decisions of the credential store: each test offers credentials and advances the clock."""

import pytest
from tls_support import StoreDriver, authority, pair

from cherrydoor.tls.credentials import RevocationList, TokenKey
from cherrydoor.tls.expiry import DAY_MS
from cherrydoor.tls.messages import (
    ConnectionClosed,
    ConnectionOpened,
    EndConnection,
    ExpiryWarning,
    PutInService,
    Rejected,
)


@pytest.fixture
def driver():
    return StoreDriver()


def kinds(actions):
    return [type(action) for action in actions]


@pytest.mark.parametrize(
    ("rejected_pair", "reason"),
    [
        (pair(not_after_ms=-DAY_MS), "ended"),
        (pair(not_before_ms=2 * DAY_MS), "begins at 2024-10-06 00:00 UTC only"),
        (pair(key_matches=False), "do not belong together"),
    ],
)
def test_an_invalid_pair_is_rejected_with_a_reason_and_the_old_one_stays_in_service(
    driver, rejected_pair, reason
):
    assert kinds(driver.offer("pair", pair("old"))) == [PutInService]
    [rejected] = driver.offer("pair", rejected_pair)
    assert type(rejected) is Rejected
    assert reason in rejected.reason
    assert driver.store.pair.name == "old"
    assert kinds(driver.offer("pair", pair("new"))) == [PutInService]
    assert driver.store.pair.name == "new"


def test_a_file_that_cannot_be_read_is_reported_once_and_the_old_pair_stays_in_service(driver):
    driver.offer("pair", pair("old"))
    [rejected] = driver.offer("pair", read_error="half-written")
    assert type(rejected) is Rejected
    assert rejected.reason == "half-written"
    assert driver.store.pair.name == "old"
    assert driver.offer("pair", read_error="half-written") == []
    assert kinds(driver.offer("pair", pair("new"))) == [PutInService]
    assert driver.store.pair.name == "new"


def test_consecutive_rejections_are_each_reported_and_the_old_pair_stays_in_service(driver):
    driver.offer("pair", pair("old"))
    for rejected_pair in (
        pair(not_after_ms=-DAY_MS),
        pair(not_before_ms=2 * DAY_MS),
        pair(key_matches=False),
    ):
        assert kinds(driver.offer("pair", rejected_pair)) == [Rejected]
        assert driver.store.pair.name == "old"
    assert kinds(driver.offer("pair", pair("new"))) == [PutInService]


def test_a_certificate_rejected_due_to_a_wrong_clock_is_put_in_service_later(driver):
    driver.offer("pair", pair("old"))
    assert kinds(driver.offer("pair", pair("new", not_before_ms=3600000.0))) == [Rejected]
    assert driver.wait(1800000.0) == []
    assert kinds(driver.wait(1900000.0)) == [PutInService]
    assert driver.store.pair.name == "new"


def test_a_pair_stays_in_service_if_the_clock_jumps_back_or_past_its_expiry(driver):
    driver.offer("pair", pair("old"))
    driver.wait(-5000 * DAY_MS)
    assert driver.store.pair.name == "old"
    [warning] = driver.wait(5095 * DAY_MS)
    assert type(warning) is ExpiryWarning
    assert warning.remaining_ms < 0
    assert driver.store.pair.name == "old"


def test_an_expiry_warning_is_given_once_at_each_step(driver):
    warnings = []
    driver.offer("pair", pair(not_after_ms=30 * DAY_MS))
    driver.offer("authorities", (authority("a", 400 * DAY_MS),))
    for _ in range(32 * 24):
        warnings += driver.wait(DAY_MS / 24)
    assert [round(warning.remaining_ms / DAY_MS, 1) for warning in warnings] == [
        14.0,
        7.0,
        3.5,
        1.0,
        0.0,
    ]


def test_connections_of_a_replaced_certificate_end_spread_within_the_grace_period():
    driver = StoreDriver(grace_period_ms=60000.0)
    driver.offer("pair", pair("old"))
    for connection in range(40):
        driver.handle(ConnectionOpened(connection))
    driver.offer("pair", pair("new"))
    assert driver.wait(44000) == []
    ended = [len(driver.wait(2000)) for _ in range(8)]
    assert sum(ended) == 40
    assert max(ended) < 20
    assert driver.wait(60000) == [], "the end of each is requested once"


def test_both_authorities_are_trusted_during_a_replacement_and_old_clients_get_a_grace_period():
    driver = StoreDriver(grace_period_ms=60000.0)
    old = authority("old")
    new = authority("new")
    driver.offer("authorities", (old,))
    driver.handle(ConnectionOpened("harbour", "1", "old"))
    driver.offer("authorities", (old, new))
    driver.handle(ConnectionOpened("meadow", "2", "new"))
    assert driver.wait(120000) == []
    driver.offer("authorities", (new,))
    [ended] = driver.wait(60000)
    assert ended.connection == "harbour"
    assert not ended.at_once
    assert kinds(driver.offer("authorities", ())) == [Rejected]
    assert driver.store.authorities == (new,)


def test_connections_of_a_revoked_certificate_end_at_once(driver):
    driver.offer("authorities", (authority("a"),))
    driver.handle(ConnectionOpened("harbour", "1", "a"))
    driver.handle(ConnectionOpened("meadow", "2", "a"))
    actions = driver.offer("revoked", (RevocationList("a", 4, frozenset({"1"})),))
    ended = [action for action in actions if isinstance(action, EndConnection)]
    assert [(action.connection, action.at_once) for action in ended] == [("harbour", True)]


@pytest.mark.parametrize(
    ("offered", "reason"),
    [
        ((RevocationList("a", 3, frozenset()),), "older"),
        ((RevocationList("a", 5, frozenset(), False),), "not signed"),
        ((), "missing"),
    ],
)
def test_a_certificate_stays_revoked_if_an_invalid_list_is_offered(driver, offered, reason):
    driver.offer("authorities", (authority("a"),))
    driver.offer("revoked", (RevocationList("a", 4, frozenset({"1"})),))
    [rejected] = driver.offer("revoked", offered)
    assert type(rejected) is Rejected
    assert reason in rejected.reason
    assert kinds(driver.handle(ConnectionOpened("again", "1", "a"))) == [EndConnection]


def test_removing_a_token_key_ends_the_connections_that_were_accepted_with_it(driver):
    driver.offer("tokens", (TokenKey("k1", ("harbour",)), TokenKey("k2")))
    driver.handle(ConnectionOpened("one", token="k1"))
    driver.handle(ConnectionOpened("other", token="k2"))
    [_, ended] = driver.offer("tokens", (TokenKey("k2"),))
    assert ended.connection == "one"
    assert ended.at_once
    assert kinds(driver.offer("tokens", (TokenKey("k2"), TokenKey("k2")))) == [Rejected]


def test_a_token_key_permits_the_clients_it_names_or_all_if_it_names_none(driver):
    driver.offer("tokens", (TokenKey("k1", ("harbour",)), TokenKey("k2")))
    assert driver.store.token_key_permits("k1", "harbour")
    assert not driver.store.token_key_permits("k1", "meadow")
    assert driver.store.token_key_permits("k2", "meadow")


def test_a_connection_ends_when_the_credentials_of_its_client_expire(driver):
    driver.handle(ConnectionOpened("harbour", token="k", expires_ms=driver.now_ms + 5000))
    assert driver.wait(4999) == []
    [ended] = driver.wait(2)
    assert ended.connection == "harbour"
    assert "has ended" in ended.reason
    driver.handle(ConnectionClosed("harbour"))
    assert driver.store.connections.open == {}
