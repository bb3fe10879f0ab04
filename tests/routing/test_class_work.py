"""Work of a request of each class, in units of the mean work of all requests.

The fault behind these tests: docs/incidents/uneven-classes.md.
"""

import pytest

from cherrydoor.routing import messages as routing
from cherrydoor.routing.class_work import HEAVY_FACTOR, MIN_SAMPLES, ClassWorkTable

LIGHT = routing.RequestClass("light", 100.0, 1000.0)
HEAVY = routing.RequestClass("heavy", 400.0, 4000.0)
NOW = 1000.0


def measured(*samples, classes=(LIGHT, HEAVY)):
    """Returns a table after samples, as (class, work in ms, how many of them)."""
    table = ClassWorkTable({each.name: each for each in classes})
    for request_class, work_ms, count in samples:
        for _ in range(count):
            table.record_success(request_class.name, work_ms, NOW)
    return table


def test_a_heavy_class_costs_its_share_of_the_mean_work_and_a_light_one_a_whole_unit():
    table = measured((LIGHT, 10.0, 90), (HEAVY, 700.0, 10))
    mean_ms = 0.9 * 10.0 + 0.1 * 700.0
    assert table.units(HEAVY, NOW) == pytest.approx(700.0 / mean_ms)
    assert table.units(LIGHT, NOW) == 1.0
    assert table.mean_ms(NOW) == pytest.approx(mean_ms)


def test_classes_that_take_about_the_same_work_are_one_unit_each():
    close = HEAVY_FACTOR * 0.9
    table = measured((LIGHT, 10.0, 500), (HEAVY, close * 10.0, 5))
    assert table.units(HEAVY, NOW) == table.units(LIGHT, NOW) == 1.0
    assert table.mean_ms(NOW) == 0.0


def test_a_single_class_is_one_unit_whatever_it_takes():
    table = measured((LIGHT, 10.0, 50), (LIGHT, 900.0, 50), classes=(LIGHT,))
    assert table.units(LIGHT, NOW) == 1.0 and table.mean_ms(NOW) == 0.0


def test_a_class_that_is_not_measured_counts_by_its_latency_objective():
    table = measured((LIGHT, 10.0, 50), (HEAVY, 700.0, MIN_SAMPLES - 1))
    assert table.units(HEAVY, NOW) == pytest.approx(400.0 / 100.0)
    assert measured().units(HEAVY, NOW) == 1.0


def test_requests_that_waited_for_a_load_count_but_do_not_change_the_work():
    table = measured((LIGHT, 10.0, 50), (HEAVY, 700.0, 50))
    before = table.units(HEAVY, NOW)
    table.record_success("light", None, NOW)
    assert before < table.units(HEAVY, NOW) < 1.01 * before


def test_a_few_long_waits_do_not_make_a_light_class_look_heavy():
    table = measured((LIGHT, 10.0, 90), (LIGHT, 2000.0, 2), (HEAVY, 700.0, 10))
    assert table.units(LIGHT, NOW) == 1.0
    assert table.units(HEAVY, NOW) > 8.0


def test_a_first_response_in_no_time_does_not_hold_the_mean_at_zero():
    table = measured((LIGHT, 10.0, 90), (HEAVY, 0.0, 1), (HEAVY, 700.0, 9))
    assert table.units(HEAVY, NOW) > HEAVY_FACTOR


def test_work_follows_a_class_that_becomes_heavier():
    table = measured((LIGHT, 10.0, 90), (HEAVY, 20.0, 10), (HEAVY, 700.0, 200))
    assert table._classes["heavy"].mean_ms > 600.0
