"""How long inputs wait for their tick is measured."""

from cherrydoor.gateway.loop_delay import LoopDelay


def test_the_delay_of_a_tick_counts_from_its_first_input():
    delay = LoopDelay()
    delay.tick_scheduled(100.0)
    assert delay.tick_began(180.0) == 80.0
    assert delay.longest_ms == 80.0


def test_a_tick_that_no_input_scheduled_has_no_delay():
    delay = LoopDelay()
    delay.tick_scheduled(100.0)
    delay.tick_began(180.0)
    assert delay.tick_began(500.0) == 0.0
    assert delay.longest_ms == 80.0


def test_the_longest_delay_is_taken_once():
    delay = LoopDelay()
    for scheduled_ms, began_ms in ((0.0, 30.0), (40.0, 45.0)):
        delay.tick_scheduled(scheduled_ms)
        delay.tick_began(began_ms)
    assert delay.take_longest() == 30.0
    assert delay.take_longest() == 0.0
