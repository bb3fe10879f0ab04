"""Request ids that are not accepted twice."""

import pytest

from cherrydoor.platform.recent_request_ids import RecentRequestIds

SPAN_MS = 1000.0


@pytest.fixture
def ids() -> RecentRequestIds:
    recent = RecentRequestIds(SPAN_MS)
    assert recent.add("first", 50_000.0)
    return recent


@pytest.mark.parametrize("later_ms", [0.0, 1.0, SPAN_MS, SPAN_MS + 1.0, 2 * SPAN_MS - 1.0])
def test_an_id_is_not_new_within_its_span(ids, later_ms):
    assert not ids.add("first", 50_000.0 + later_ms)


def test_an_id_is_new_again_after_two_spans_without_others(ids):
    assert ids.add("first", 50_000.0 + 2 * SPAN_MS)


def test_no_more_ids_are_kept_than_came_within_two_spans(ids):
    for number in range(10_000):
        assert ids.add(str(number), 50_000.0 + 10.0 * number)
        assert len(ids.current) + len(ids.previous) <= 2 * SPAN_MS / 10.0 + 4
