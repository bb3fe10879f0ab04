"""What operators ask of zone drains on the control socket, and what they are answered."""

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

MIN_WAVE_MS = 2000.0  # that a wave takes where nothing holds it up: announced, confirmed, watched
DEFAULT_DURATION_S = 3600.0  # in which a drain is to be over unless an operator says otherwise
WHOLE_ZONE_SHARE = 1.0  # the wave share of a dry run for which no wave fits into the time


class DrainCommand(StrEnum):
    """The commands; what is not handled here goes to the drain's coordinator."""

    SHOW = "show"
    PLAN = "plan"
    DRAIN = "drain"
    PAUSE = "hold"
    RESUME = "resume"
    UNDO = "undo"


class CommandRefusedError(Exception):
    """A command that cannot be followed; its text says which zone and why, for operators."""


class OperatorCommands:
    """Answers the control socket; owns nothing but the ways to the drains."""

    def __init__(
        self,
        dispatcher: Callable[[], Any],
        participant: Callable[[], Participant],
        coordinators: DrainCoordinators,
        loads: ReportedLoads,
        report_own_load: Callable[[str], None],
        send_command: Callable[[str, str, CoordinatorCommand], None],
    ):
        """Connects the commands.

        Args:
            dispatcher: Gives the gateway's dispatcher, for its hosts.
            participant: Gives the drains as this gateway knows them.
            coordinators: The drains that are coordinated here.
            loads: What gateways report.
            report_own_load: Adds this gateway's own report on a zone to `loads`.
            send_command: Sends (coordinator, zone, command).
        """
        self._dispatcher = dispatcher
        self._participant = participant
        self._coordinators = coordinators
        self._loads = loads
        self._report_own_load = report_own_load
        self._send_command = send_command

    def answer(self, request: Mapping[str, Any]) -> Table:
        """The answer to a command.

        Args:
            request: `what`, a DrainCommand; `site`, the zone; where they apply `within`, in
                seconds, and `even`, whether to accept a shortfall.
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
                f"no host of the list is at site {zone!r}; "
                f"there are {' '.join(sorted(zones)) or 'none'}"
            )

    def _show(self, zone: str) -> Table:
        wave = self._participant().drains.get(zone)
        return drain_table(zone, wave, self._coordinators.coordinator(zone))

    def _plan(self, zone: str, wave_share: float) -> PlannedDrain:
        """By what this gateway knows alone, or as coordinator by what all have reported."""
        self._report_own_load(zone)
        return self._loads.plan(zone, wave_share)

    def _dry_run(self, zone: str, request: Mapping[str, Any]) -> Table:
        wave_share = _wave_share(request) or WHOLE_ZONE_SHARE
        planned = self._plan(zone, wave_share)
        return plan_table(zone, planned, self._loads.gateways(zone), self._loads.zones(zone))

    def _drain(self, zone: str, request: Mapping[str, Any]) -> Table:
        self._require_no_drain(zone)
        if len(listed_zones(self._dispatcher())) < 2:
            raise CommandRefusedError(f"{zone} has no neighbour")
        wave_share = _wave_share(request)
        if wave_share is None:
            shortest_s = (REPORT_COLLECTION_MS + MIN_WAVE_MS) / 1000
            raise CommandRefusedError(
                f"a drain takes {shortest_s:g} s at the least: to listen, and a wave"
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
                f"{zone} is drained already, by {drain.coordinator}: "
                f"wave {drain.wave}, {drain.state}"
            )
        other = self._participant().any_active_drain()
        if other is not None:
            raise CommandRefusedError(f"{other.zone} is being drained: one site at a time")

    def _forward(self, zone: str, name: str) -> Table:
        drain: DrainWave | None = self._participant().active_drain(zone)
        if drain is None:
            raise CommandRefusedError(f"{zone} is not being drained")
        if name not in list(CoordinatorCommand):
            raise CommandRefusedError(f"unknown: {name}")
        self._send_command(drain.coordinator, zone, CoordinatorCommand(name))
        return self._show(zone)


def _wave_share(request: Mapping[str, Any]) -> float | None:
    """The share of a wave for a drain of the length asked for; None where that is too short."""
    duration_s = float(request.get("within") or DEFAULT_DURATION_S)
    return wave_share_within(1000.0 * duration_s - REPORT_COLLECTION_MS, MIN_WAVE_MS)
