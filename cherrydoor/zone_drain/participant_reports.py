"""Reports of a drain's participants: their wave, requests in flight and timely responses.

Pure; times are ms of the caller's clock.
"""

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import Struct

from cherrydoor.protocol.zone_drain import ParticipantReport

MIN_RESPONSES = 30  # fewer responses give no timely share
MAX_SAMPLES = 400  # reports from which timely shares are computed
REPORT_INTERVAL_MS = 250.0  # between two reports of one gateway of a small fleet
GATEWAYS_PER_INTERVAL = 50  # each further 50 gateways add another REPORT_INTERVAL_MS


def report_interval_ms(gateways: int) -> float:
    """Returns the time between two reports of one gateway, ms.

    It limits a coordinator's load to about 200 reports per second. A new wave is confirmed at once,
    regardless of the interval.

    >>> report_interval_ms(8), report_interval_ms(1000)
    (250.0, 5000.0)
    """
    return REPORT_INTERVAL_MS * -(-gateways // GATEWAYS_PER_INTERVAL)


class ParticipantState(Struct):
    """A participant's last report: the version of its wave and its requests in flight."""

    wave_version: tuple[int, int] = (0, 0)
    in_flight: int = 0
    incarnation: int = 0


class ResponseSample(NamedTuple):
    """Number of responses in one report, and of those within their latency objective."""

    reported_at_ms: float
    timely_responses: int
    responses: int


class TimelyShare(NamedTuple):
    """The share of responses within their latency objective; None if there are too few."""

    share: float | None
    responses: int


class ParticipantReports:
    """Owns the last report of each participant, and samples of their responses.

    Invariant: at most one state per gateway name, and at most MAX_SAMPLES samples. A report of an
    earlier incarnation than the known one is ignored.
    """

    def __init__(self) -> None:
        self.participants: dict[str, ParticipantState] = {}
        self._samples: list[ResponseSample] = []

    def add(self, now_ms: float, report: ParticipantReport) -> bool:
        """Adds a report; returns False if it is from an earlier incarnation than the known one."""
        state = self.participants.setdefault(report.gateway, ParticipantState())
        if report.incarnation < state.incarnation:
            return False
        state.wave_version = report.version
        state.in_flight = report.in_flight
        state.incarnation = report.incarnation
        if report.responses:
            sample = ResponseSample(now_ms, report.timely_responses, report.responses)
            self._samples.append(sample)
            del self._samples[:-MAX_SAMPLES]
        return True

    def not_confirmed(self, living: Iterable[str], version: tuple[int, int]) -> list[str]:
        """Returns the living gateways that have not confirmed this wave."""
        return [
            name
            for name in living
            if name not in self.participants or self.participants[name].wave_version < version
        ]

    def confirmed_count(self, version: tuple[int, int]) -> int:
        """Returns the number of participants that have confirmed this wave."""
        return sum(one.wave_version >= version for one in self.participants.values())

    def with_requests_in_flight(self, living: Iterable[str]) -> list[str]:
        """Returns the living gateways with requests in flight in the zone."""
        return [
            name
            for name in living
            if name in self.participants and self.participants[name].in_flight
        ]

    def in_flight(self) -> int:
        """Returns the sum of the requests in flight in the zone, by all last reports."""
        return sum(one.in_flight for one in self.participants.values())

    def timely_share(self, since_ms: float) -> TimelyShare:
        """Returns the timely share of all responses reported since then."""
        recent = [one for one in self._samples if one.reported_at_ms >= since_ms]
        timely_responses = sum(one.timely_responses for one in recent)
        responses = sum(one.responses for one in recent)
        share = timely_responses / responses if responses >= MIN_RESPONSES else None
        return TimelyShare(share, max(1, responses))
