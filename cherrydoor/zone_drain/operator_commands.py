"""Operators' zone drain commands on the control socket, and the answers to them."""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any

from cherrydoor.protocol.zone_drain import CoordinatorCommand, DrainWave
from cherrydoor.zone_drain.coordination import REPORT_COLLECTION_MS, DrainCoordinators
from cherrydoor.zone_drain.drain_record import RequestedDrain
from cherrydoor.zone_drain.drain_status import Table, drain_table, plan_table
from cherrydoor.zone_drain.listed_hosts import listed_zones
from cherrydoor.zone_drain.participant import Participant
from cherrydoor.zone_drain.reported_loads import PlannedDrain, ReportedLoads
from cherrydoor.zone_drain.wave_plan import wave_share_within

MIN_WAVE_MS = 2000.0  # a wave without delays: announced, confirmed and observed
DEFAULT_DURATION_S = 3600.0  # target duration of a drain unless an operator gives one
WHOLE_ZONE_SHARE = 1.0  # wave share of a dry run whose duration is too short for any wave


class DrainCommand(StrEnum):
    """Commands handled by this gateway, and those forwarded to the drain's coordinator."""

    SHOW = "show"
    PLAN = "plan"
    DRAIN = "drain"
    PAUSE = "hold"
    RESUME = "resume"
    UNDO = "undo"


class CommandRefusedError(Exception):
    """A command that is refused; its text gives operators the zone and the reason."""


class OperatorCommands:
    """Answers drain commands from the control socket; owns no state of its own."""

    def __init__(
        self,
        dispatcher: Callable[[], Any],
        participant: Callable[[], Participant],
        coordinators: DrainCoordinators,
        loads: ReportedLoads,
        report_own_load: Callable[[str], None],
        send_command: Callable[[str, str, CoordinatorCommand], None],
    ):
        """Stores the sources of the answers.

        Args:
            dispatcher: Returns the gateway's dispatcher, which has its hosts.
            participant: Returns the participant, which has the drains that this gateway knows.
            coordinators: The drains that are coordinated here.
            loads: The loads that gateways report.
            report_own_load: Adds this gateway's own report on a zone to `loads`.
            send_command: Sends a command to a coordinator: (coordinator, zone, command).
        """
        self._dispatcher = dispatcher
        self._participant = participant
        self._coordinators = coordinators
        self._loads = loads
        self._report_own_load = report_own_load
        self._send_command = send_command

    def answer(self, request: Mapping[str, Any]) -> Table:
        """Answers a command; a refused one with a table that has only the key `error`.

        Args:
            request: `what`, a DrainCommand; `site`, the zone; optionally `within`, the duration
                in seconds, and `even`, whether to accept a capacity shortfall.
        """
        zone = str(request["site"])
        try:
            self._require_known_zone(zone)
            return self._execute(str(request["what"]), zone, request)
        except CommandRefusedError as refusal:
            return {"error": str(refusal)}

    def _execute(self, name: str, zone: str, request: Mapping[str, Any]) -> Table:
        if name == DrainCommand.SHOW:
            return self._show(zone)
        if name == DrainCommand.PLAN:
            return self._dry_run(zone, request)
        if name == DrainCommand.DRAIN:
            return self._drain(zone, request)
        return self._forward(zone, name)

    def _require_known_zone(self, zone: str) -> None:
        zones = listed_zones(self._dispatcher())
        if zone not in zones:
            raise CommandRefusedError(
                f"no host in the endpoint list is in zone {zone!r}; "
                f"zones with hosts: {' '.join(sorted(zones)) or 'none'}"
            )

    def _show(self, zone: str) -> Table:
        wave = self._participant().drains.get(zone)
        return drain_table(zone, wave, self._coordinators.coordinator(zone))

    def _plan(self, zone: str, wave_share: float) -> PlannedDrain:
        """Plans from this gateway's own load; as coordinator, from all gateways' reports."""
        self._report_own_load(zone)
        return self._loads.plan(zone, wave_share)

    def _dry_run(self, zone: str, request: Mapping[str, Any]) -> Table:
        wave_share = _wave_share(request) or WHOLE_ZONE_SHARE
        planned = self._plan(zone, wave_share)
        return plan_table(zone, planned, self._loads.gateways(zone), self._loads.zones(zone))

    def _drain(self, zone: str, request: Mapping[str, Any]) -> Table:
        self._require_no_drain(zone)
        if len(listed_zones(self._dispatcher())) < 2:
            raise CommandRefusedError(f"zone {zone} has no neighbour")
        wave_share = _wave_share(request)
        if wave_share is None:
            shortest_s = (REPORT_COLLECTION_MS + MIN_WAVE_MS) / 1000
            raise CommandRefusedError(
                f"a drain takes at least {shortest_s:g} s: for collecting reports and one wave"
            )
        allow_shortfall = bool(request.get("even"))
        plan = self._plan(zone, wave_share).plan
        if plan.is_refused(allow_shortfall):
            raise CommandRefusedError(plan.refusal_reason())
        self._coordinators.request_drain(zone, RequestedDrain(wave_share, allow_shortfall))
        return self._show(zone)

    def _require_no_drain(self, zone: str) -> None:
        drain = self._participant().active_drain(zone)
        if drain is not None:
            raise CommandRefusedError(
                f"zone {zone} is already being drained by {drain.coordinator}: "
                f"wave {drain.wave}, {drain.state}"
            )
        other = self._participant().any_active_drain()
        if other is not None:
            raise CommandRefusedError(f"zone {other.zone} is being drained: one zone at a time")

    def _forward(self, zone: str, name: str) -> Table:
        drain: DrainWave | None = self._participant().active_drain(zone)
        if drain is None:
            raise CommandRefusedError(f"zone {zone} is not being drained")
        if name not in list(CoordinatorCommand):
            raise CommandRefusedError(f"unknown command: {name}")
        self._send_command(drain.coordinator, zone, CoordinatorCommand(name))
        return self._show(zone)


def _wave_share(request: Mapping[str, Any]) -> float | None:
    """Returns the share per wave for the requested duration; None if it is too short."""
    duration_s = float(request.get("within") or DEFAULT_DURATION_S)
    return wave_share_within(1000.0 * duration_s - REPORT_COLLECTION_MS, MIN_WAVE_MS)
