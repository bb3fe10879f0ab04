"""Steps of the wall clock while requests are in flight; the monotonic clock is not affected."""

import asyncio
import json
import time

import pytest
from platform_harness import with_harness

HOUR_S = 3600.0
TIMEOUT_MS = 400


class SteppedClock:
    """Replaces `time.time` by a clock that the test can step."""

    def __init__(self):
        self.ahead_s = 0.0
        self.true_time = time.time

    def __call__(self):
        return self.true_time() + self.ahead_s


@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S, 90.0, -3.0])
def test_a_step_of_the_wall_clock_moves_no_deadline_and_no_lease(tmp_path, monkeypatch, step_s):
    clock = SteppedClock()
    monkeypatch.setattr(time, "time", clock)

    @with_harness
    async def steps(harness):
        service = await harness.start_in_process(("a",))
        host = harness.hosts[0]
        loop = asyncio.get_running_loop()
        answers = host.answers
        host.answers = lambda words: None if words[0] == b"exec" else answers(words)
        client = await harness.client()
        started_at_s = loop.time()
        client.call(timeout_ms=str(TIMEOUT_MS))
        await host.until(b"exec")
        clock.ahead_s = step_s
        answer = await client.answer()
        elapsed_s = loop.time() - started_at_s
        assert answer.status == 503 and 0.3 < elapsed_s < 2.0
        host.answers = answers
        assert (await harness.send_request()).status == 200
        assert service.dispatcher.router.list_lease.is_current(service.clock.now())

    steps(tmp_path)


def test_log_lines_carry_the_wall_clock(tmp_path, monkeypatch, capsys):
    clock = SteppedClock()
    monkeypatch.setattr(time, "time", clock)

    @with_harness
    async def steps(harness):
        service = await harness.start_in_process(("a",))
        clock.ahead_s = HOUR_S
        service.log.write("stepped")

    steps(tmp_path)
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    at = {line["is"]: line["at"] for line in lines}
    assert at["stepped"] - at["ready"] >= HOUR_S * 1000
