"""Collects the gateways' reports on the load of zones and plans drains from them. Pure."""

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

UNLIMITED_CAPACITY_PER_S = 1e9  # if it is unknown, so that no drain is refused for it


class PlannedDrain(NamedTuple):
    """A plan with the session groups and copies from which it was made."""

    plan: WavePlan
    groups: list[SessionGroup]
    copies: list[LoadedCopy]


class ReceivedReport(NamedTuple):
    """A report with its time of arrival, ms."""

    received_at_ms: float
    report: ParticipantReport


class ReportedLoads:
    """Owns the last report of each gateway on each zone that may be drained from here.

    Reports older than REPORT_LIFETIME_MS are ignored; `forget` removes those of a zone.
    """

    def __init__(self, now: Callable[[], float], unversioned: Callable[[str], str]):
        """Starts without reports.

        Args:
            now: The clock, in ms.
            unversioned: Returns the function name without its version.
        """
        self._now = now
        self._unversioned = unversioned
        self._received: dict[str, dict[str, ReceivedReport]] = {}

    def add(self, report: ParticipantReport) -> None:
        """Adds a report; it replaces the gateway's last one on the zone."""
        of_zone = self._received.setdefault(report.zone, {})
        of_zone[report.gateway] = ReceivedReport(self._now(), report)

    def forget(self, zone: str) -> None:
        """Removes the reports on the zone."""
        self._received.pop(zone, None)

    def gateways(self, zone: str) -> list[str]:
        """Returns the sorted names of the gateways that reported on the zone."""
        return sorted(self._received[zone])

    def fresh(self, zone: str) -> list[ParticipantReport]:
        """Returns the reports on the zone that have not expired."""
        now_ms = self._now()
        return [
            one.report
            for one in self._received.get(zone, {}).values()
            if now_ms - one.received_at_ms <= REPORT_LIFETIME_MS
        ]

    def zones(self, zone: str) -> dict[str, ZoneState]:
        """Returns the state of all zones, from the reports on this zone's drain."""
        return combined_zones(report.zone_loads for report in self.fresh(zone))

    def sessions(self, zone: str) -> ZoneSessions:
        """Returns the zone's session groups, one per function, and the loaded copies."""
        loads = (load for report in self.fresh(zone) for load in report.function_loads)
        return combined_sessions(loads, self._unversioned)

    def plan(self, zone: str, wave_share: float) -> PlannedDrain:
        """Plans a drain of the zone from the current reports."""
        sessions = self.sessions(zone)
        zones = self.zones(zone)
        capacity = spare_capacity(zones, zone)
        if capacity is None:
            capacity = UNLIMITED_CAPACITY_PER_S
        zone_rate = zones[zone].requests_per_s if zone in zones else 0.0
        groups = scaled_to_rate(sessions.groups, zone_rate)
        plan = plan_waves(groups, capacity, wave_share)
        return PlannedDrain(plan, groups, sessions.copies)
