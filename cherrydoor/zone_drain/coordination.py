"""The drains that this gateway coordinates, or would: their leases, plans and actions."""

from collections.abc import Callable
from typing import Any

import structlog

from cherrydoor.leader_election.service import LeaseService
from cherrydoor.membership.service import MembershipService
from cherrydoor.protocol.failover import CountInFlight, InFlightCount
from cherrydoor.protocol.zone_drain import (
    CoordinatorCommand,
    DrainState,
    DrainWave,
    ParticipantReport,
)
from cherrydoor.zone_drain.coordinator import DrainCoordinator
from cherrydoor.zone_drain.drain_actions import AnnounceWave, DrainAction, PreloadCopy, QueryHost
from cherrydoor.zone_drain.drain_record import RequestedDrain, takeover_wave
from cherrydoor.zone_drain.in_flight_check import HostCount
from cherrydoor.zone_drain.listed_hosts import listed_hosts
from cherrydoor.zone_drain.reported_loads import ReportedLoads
from cherrydoor.zone_drain.session_groups import OTHER_FUNCTIONS
from cherrydoor.zone_drain.wave_plan import WavePlan

log = structlog.get_logger()
REPORT_COLLECTION_MS = 1500.0  # for which a new coordinator receives reports before it plans
HOST_QUERY_TIMEOUT_MS = 1000.0  # for which a host's own count is waited for
LEASE_RETENTION_S = 2.0  # after the last wave, so that all receive it under its fencing token


def lease_name(zone: str) -> str:
    """Name of the lease whose holder coordinates the zone's drain."""
    return f"site/{zone}"


class DrainCoordinators:
    """Owns the leases that this gateway wants for drains, and a coordinator for each it leads.

    Invariant: a zone has a coordinator only while its lease is wanted; nothing is carried out for
    one whose fencing token is no longer the lease's.
    """

    def __init__(
        self,
        peers: MembershipService,
        leases: LeaseService,
        loads: ReportedLoads,
        last_wave: Callable[[str], DrainWave | None],
        publish: Callable[[DrainWave], None],
        unversioned: Callable[[str], str],
    ):
        """Starts without leases.

        Args:
            peers: The gateway's links, clock and event loop.
            leases: Its leases.
            loads: What all gateways report.
            last_wave: Gives the latest wave that this gateway knows of a zone.
            publish: Applies a wave here and sends it to every other gateway.
            unversioned: Gives the function that a version is of.
        """
        self._peers = peers
        self._leases = leases
        self._service = peers.service
        self._gateway = peers.local.name
        self._now = peers.now
        self._loads = loads
        self._last_wave = last_wave
        self._publish = publish
        self._unversioned = unversioned
        self._lease_requests: dict[str, float | None] = {}  # zone -> when the lease was granted, ms
        self._requested: dict[str, RequestedDrain] = {}  # until it is coordinated
        self._coordinators: dict[str, DrainCoordinator] = {}

    @property
    def _dispatcher(self) -> Any:
        return self._service.dispatcher

    # ---- leases
    def wants_lease(self, zone: str) -> bool:
        """Whether this gateway coordinates the zone's drain or waits for its lease."""
        return zone in self._lease_requests

    def coordinator(self, zone: str) -> DrainCoordinator | None:
        """The coordinator of the zone's drain, if it is here."""
        return self._coordinators.get(zone)

    def request_drain(self, zone: str, requested: RequestedDrain) -> None:
        """An operator wants the zone drained; this gateway requests the lease."""
        if zone in self._coordinators:  # the drain before is over, and its lease still held
            self.stop(zone)
        self._requested[zone] = requested
        self.request_lease(zone)

    def request_lease(self, zone: str) -> None:
        """Requests the lease, to coordinate as soon as it is granted."""
        self._lease_requests[zone] = None
        self._leases.hold(
            lease_name(zone),
            lambda fencing_token: self._lease_granted(zone, fencing_token),
            lambda fencing_token: self._lease_lost(zone),
        )

    def _lease_granted(self, zone: str, fencing_token: int) -> None:
        """Announces the drain under the new token, so that all gateways report here; then listens.

        A drain that is over meanwhile is not begun again: voters queue for the lease while it goes
        on, and its coordinator hands over last.
        """
        last = self._last_wave(zone)
        requested = self._requested.get(zone)
        if last is not None and last.state == DrainState.COMPLETED:
            if requested is None:
                self.stop(zone)
                return
            last = None
        self._lease_requests[zone] = self._now()
        requested = requested or RequestedDrain()
        self._publish(takeover_wave(zone, fencing_token, self._gateway, last, requested))

    def _lease_lost(self, zone: str) -> None:
        self._coordinators.pop(zone, None)
        self._loads.forget(zone)
        if zone in self._lease_requests:
            self._lease_requests[zone] = None

    def stop(self, zone: str) -> None:
        """Hands the lease over; this gateway goes on as a participant."""
        self._lease_requests.pop(zone, None)
        self._requested.pop(zone, None)
        self._coordinators.pop(zone, None)
        self._loads.forget(zone)
        self._leases.release(lease_name(zone))

    def release_leases(self) -> None:
        """Hands all leases over, as the gateway closes."""
        for zone in list(self._lease_requests):
            self._leases.release(lease_name(zone))

    def higher_token_seen(self, zone: str, fencing_token: int) -> None:
        """Another gateway announced a wave of a drain that may be coordinated here."""
        if zone in self._coordinators:
            self._leases.on_higher_token(lease_name(zone), fencing_token)

    # ---- coordinating
    def tick(self) -> None:
        """Begins to coordinate where listening is over, and looks what is due."""
        now_ms = self._now()
        for zone, granted_at_ms in list(self._lease_requests.items()):
            coordinator = self._coordinators.get(zone)
            fencing_token = self._leases.fencing_token(lease_name(zone))
            if coordinator is not None:
                if coordinator.record.fencing_token == fencing_token:
                    self._update_coordinator(zone, coordinator)
            elif fencing_token is None or granted_at_ms is None:
                continue
            elif now_ms - granted_at_ms > REPORT_COLLECTION_MS:
                self._begin(zone, fencing_token)

    def _begin(self, zone: str, fencing_token: int) -> None:
        """Plans by what has been reported, from the wave that was reached."""
        last = self._last_wave(zone)
        assert last is not None  # announced when the lease was granted
        self._requested.pop(zone, None)
        planned = self._loads.plan(zone, last.wave_share)
        plan = planned.plan
        if not last.wave and plan.is_refused(last.allow_shortfall):
            self._refuse(zone, fencing_token, plan)
            return
        coordinator = DrainCoordinator(
            zone,
            fencing_token,
            self._gateway,
            plan,
            self._peers.members.alive_names,
            self._now(),
            last,
            [copy for copy in planned.copies if copy.function != OTHER_FUNCTIONS],
            lambda: listed_hosts(self._dispatcher, zone),
        )
        self._coordinators[zone] = coordinator
        coordinator.neighbours.update(self._loads.zones(zone))
        log.info(
            "zone drain coordination started",
            gateway=self._gateway,
            zone=zone,
            fencing_token=fencing_token,
            wave=coordinator.record.wave,
            waves=len(plan.waves),
            demand_per_s=round(plan.demand_per_s, 1),
            capacity_per_s=round(plan.capacity_per_s, 1),
        )
        self._execute(zone, coordinator.start(self._now()))

    def _refuse(self, zone: str, fencing_token: int, plan: WavePlan) -> None:
        """Ends a drain before anything has moved, for lack of known capacity."""
        log.warning(
            "zone drain refused",
            gateway=self._gateway,
            zone=zone,
            shortfall_per_s=round(plan.shortfall_per_s, 1),
        )
        refusal = DrainWave(
            zone,
            fencing_token,
            1,
            self._gateway,
            DrainState.COMPLETED,
            reason=plan.refusal_reason(),
        )
        self._publish(refusal)
        self.stop(zone)

    def _update_coordinator(self, zone: str, coordinator: DrainCoordinator) -> None:
        """Reports may show a copy that nobody ordered: a request that moved had it loaded."""
        coordinator.neighbours.update(self._loads.zones(zone))
        pending = coordinator.preloads.pending
        if pending:
            for copy in self._loads.sessions(zone).copies:
                if copy.function in coordinator.preloads.pending:
                    actions = coordinator.copy_loaded(
                        self._now(), copy.function, copy.host, copy.version
                    )
                    self._execute(zone, actions)
        self._execute(zone, coordinator.tick(self._now()))

    def report_received(self, report: ParticipantReport) -> None:
        """Takes a participant's report; one that is for another coordinator by now is dropped."""
        if report.zone not in self._lease_requests:
            return
        self._loads.add(report)
        coordinator = self._coordinators.get(report.zone)
        if coordinator is not None:
            self._execute(report.zone, coordinator.report_received(self._now(), report))

    def command_received(self, zone: str, command: CoordinatorCommand) -> None:
        """Takes an operator's command, if the zone's drain is coordinated here."""
        coordinator = self._coordinators.get(zone)
        if coordinator is not None:
            self._execute(zone, coordinator.command(self._now(), command))

    def load_order_ended(self, version: str, host: str, is_success: bool) -> None:
        """A load order of this gateway has ended."""
        function = self._unversioned(version)
        for zone, coordinator in list(self._coordinators.items()):
            if is_success and function in coordinator.preloads.pending:
                actions = coordinator.copy_loaded(self._now(), function, host, version)
                self._execute(zone, actions)

    # ---- actions
    def _execute(self, zone: str, actions: list[DrainAction]) -> None:
        coordinator = self._coordinators.get(zone)
        for action in actions:
            if coordinator is None:
                return
            if self._leases.fencing_token(lease_name(zone)) != coordinator.record.fencing_token:
                return
            if isinstance(action, PreloadCopy):
                self._preload(zone, action.function)
            elif isinstance(action, QueryHost):
                self._query_host(zone, action.host)
            else:
                self._announce(zone, coordinator, action)

    def _preload(self, zone: str, function: str) -> None:
        for version in self._current_versions(function):
            self._service.post(self._dispatcher.function_expected, version, zone)

    def _current_versions(self, function: str) -> list[str]:
        """The names by which this gateway calls the function by now."""
        known = self._dispatcher.router.history.functions
        return [name for name in known if self._unversioned(name) == function] or [function]

    def _query_host(self, zone: str, host: str) -> None:
        self._service.post(
            self._dispatcher.query_host,
            host,
            CountInFlight,
            HOST_QUERY_TIMEOUT_MS,
            lambda host, outcome, answer: self._host_answered(zone, host, answer),
        )

    def _host_answered(self, zone: str, host: str, answer: Any) -> None:
        coordinator = self._coordinators.get(zone)
        if coordinator is None:
            return
        count = None
        if isinstance(answer, InFlightCount):
            count = HostCount(answer.in_hand, answer.came, answer.by)
        self._execute(zone, coordinator.host_answered(self._now(), host, count))

    def _announce(self, zone: str, coordinator: DrainCoordinator, action: AnnounceWave) -> None:
        self._publish(action.wave)
        if action.wave.state == DrainState.COMPLETED:
            self._peers.loop.call_later(LEASE_RETENTION_S, self._release_lease, zone, coordinator)

    def _release_lease(self, zone: str, coordinator: DrainCoordinator) -> None:
        """A while after the last wave; meanwhile another drain may have been requested here."""
        if self._coordinators.get(zone) is coordinator:
            self.stop(zone)
