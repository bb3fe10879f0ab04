"""The gateway's log on standard error."""

import errno
import json
import sys

import pytest

from cherrydoor.platform.event_log import EventLog


class ManualClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_ms = 5000.0

    def now(self) -> float:
        return self.now_ms


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def log(clock: ManualClock) -> EventLog:
    return EventLog(clock, clock)


def lines(capsys: pytest.CaptureFixture[str]) -> list[dict[str, object]]:
    return [json.loads(line) for line in capsys.readouterr().err.splitlines()]


def test_a_limited_event_is_omitted_for_a_second_and_then_counts_the_omitted_lines(
    clock, log, capsys
):
    log.write_limited("clients are refused", more=0)
    log.write_limited("clients are refused", more=1)
    log.write_limited("another event")
    clock.now_ms += 999.0
    log.write_limited("clients are refused", more=2)
    clock.now_ms += 1.0
    log.write_limited("clients are refused", more=3)
    clock.now_ms += 1000.0
    log.write_limited("clients are refused", more=4)
    assert lines(capsys) == [
        {"at": 5000, "is": "clients are refused", "more": 0},
        {"at": 5000, "is": "another event"},
        {"at": 6000, "is": "clients are refused", "more": 3, "left_out": 2},
        {"at": 7000, "is": "clients are refused", "more": 4},
    ]


def test_an_event_without_a_limit_is_written_each_time(log, capsys):
    log.write("discovery update applied", revision=2)
    log.write("discovery update applied", revision=3)
    assert [line["revision"] for line in lines(capsys)] == [2, 3]


class FailingStream:
    """A standard error stream on a full disk."""

    def write(self, text: str) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    def flush(self) -> None:
        pass


def test_lines_that_cannot_be_written_are_counted_in_the_next_one(log, capsys, monkeypatch):
    with monkeypatch.context() as patch:
        patch.setattr(sys, "stderr", FailingStream())
        log.write("usage")
        log.write("usage")
    log.write("usage")
    log.write("usage")
    assert lines(capsys) == [
        {"at": 5000, "is": "usage", "unwritten_lines": 2},
        {"at": 5000, "is": "usage"},
    ]
