"""What all gateways report of the load on zones, and the plan that follows from it. Pure."""

from collections.abc import Callable
from typing import NamedTuple

from cherrydoor.protocol.zone_drain import ParticipantReport
from cherrydoor.zone_drain.neighbour_capacity import (
    REPORT_LIFETIME_MS,
    ZoneState,
    combined_zones,
    spare_capacity,
)
from cherrydoor.zone_drain.session_groups import (
    LoadedCopy,
    SessionGroup,
    ZoneSessions,
    combined_sessions,
    scaled_to_rate,
)
from cherrydoor.zone_drain.wave_plan import WavePlan, plan_waves

UNLIMITED_CAPACITY_PER_S = 1e9  # where it is unknown: no drain is refused for it


class PlannedDrain(NamedTuple):
    """A plan with the session groups and copies that it was made of."""

    plan: WavePlan
    groups: list[SessionGroup]
    copies: list[LoadedCopy]


class ReceivedReport(NamedTuple):
    """A report and when it came."""

    received_at_ms: float
    report: ParticipantReport


class ReportedLoads:
    """Owns the last report of each gateway on each zone that may be drained from here.

    Invariant: a report counts for REPORT_LIFETIME_MS; those of a zone go when it is forgotten.
    """

    def __init__(self, now: Callable[[], float], unversioned: Callable[[str], str]):
        """Starts without reports.

        Args:
            now: The clock, in ms.
            unversioned: Gives the function that a version is of.
        """
        self._now = now
        self._unversioned = unversioned
        self._received: dict[str, dict[str, ReceivedReport]] = {}

    def add(self, report: ParticipantReport) -> None:
        """Takes a report."""
        of_zone = self._received.setdefault(report.zone, {})
        of_zone[report.gateway] = ReceivedReport(self._now(), report)

    def forget(self, zone: str) -> None:
        """Drops the reports on the zone."""
        self._received.pop(zone, None)

    def gateways(self, zone: str) -> list[str]:
        """Names of the gateways that reported, sorted."""
        return sorted(self._received[zone])

    def fresh(self, zone: str) -> list[ParticipantReport]:
        """Reports on the zone that still count."""
        now_ms = self._now()
        return [
            one.report
            for one in self._received.get(zone, {}).values()
            if now_ms - one.received_at_ms <= REPORT_LIFETIME_MS
        ]

    def zones(self, zone: str) -> dict[str, ZoneState]:
        """All zones as the reports on this one describe them."""
        return combined_zones(report.zone_loads for report in self.fresh(zone))

    def sessions(self, zone: str) -> ZoneSessions:
        """The zone's session groups, versions of one function together, and loaded copies."""
        loads = (load for report in self.fresh(zone) for load in report.function_loads)
        return combined_sessions(loads, self._unversioned)

    def plan(self, zone: str, wave_share: float) -> PlannedDrain:
        """The drain of the zone by what is reported now."""
        sessions = self.sessions(zone)
        zones = self.zones(zone)
        capacity = spare_capacity(zones, zone)
        if capacity is None:
            capacity = UNLIMITED_CAPACITY_PER_S
        zone_rate = zones[zone].requests_per_s if zone in zones else 0.0
        groups = scaled_to_rate(sessions.groups, zone_rate)
        plan = plan_waves(groups, capacity, wave_share)
        return PlannedDrain(plan, groups, sessions.copies)
