"""Start times of hosts, as read by a gateway whose wall clock may be wrong."""

from cherrydoor.platform.host_starts import START_NOTICE_MS, HostStarts

HOUR_MS = 3600000.0
NOW_MS = 1e12


def test_a_plausible_start_is_kept():
    assert HostStarts().bounded("a", NOW_MS - 700, NOW_MS, NOW_MS - 1000) == NOW_MS - 700


def test_a_start_long_ago_stays_long_ago():
    assert HostStarts().bounded("a", 0.0, NOW_MS, NOW_MS - 1000) == 0.0


def test_a_new_host_does_not_count_as_warm_if_the_clock_is_ahead():
    found = HostStarts().bounded("a", NOW_MS - HOUR_MS, NOW_MS, NOW_MS - 1000)
    assert found == NOW_MS - 1000 - START_NOTICE_MS


def test_a_new_host_is_not_in_slow_start_for_an_hour_if_the_clock_is_behind():
    assert HostStarts().bounded("a", NOW_MS + HOUR_MS, NOW_MS, NOW_MS - 1000) == NOW_MS


def test_a_start_that_is_stated_again_is_no_restart():
    starts = HostStarts()
    first = starts.bounded("a", NOW_MS + HOUR_MS, NOW_MS, NOW_MS)
    assert starts.bounded("a", NOW_MS + HOUR_MS, NOW_MS + 5000, NOW_MS + 4000) == first
    restarted = starts.bounded("a", NOW_MS + HOUR_MS + 9000, NOW_MS + 9000, NOW_MS + 8000)
    assert restarted == NOW_MS + 9000


def test_a_start_in_the_configuration_is_bounded_by_the_present_alone():
    assert HostStarts().bounded("a", NOW_MS - HOUR_MS, NOW_MS, 0.0) == NOW_MS - HOUR_MS
