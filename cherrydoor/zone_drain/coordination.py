"""The drains that this gateway coordinates or may coordinate: their leases, plans and actions."""

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
REPORT_COLLECTION_MS = 1500.0  # a new coordinator collects reports that long before it plans
HOST_QUERY_TIMEOUT_MS = 1000.0
LEASE_RETENTION_S = 2.0  # after the last wave, so that all gateways receive it under its token


def lease_name(zone: str) -> str:
    """Returns the name of the lease whose holder coordinates the zone's drain."""
    return f"site/{zone}"


class DrainCoordinators:
    """Owns this gateway's lease requests for drains, and the coordinators of the drains it leads.

    Invariant: a zone has a coordinator only while its lease is requested or held; no action is
    executed for a coordinator whose fencing token is not the one of the current lease.
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
            peers: The gateway's membership service, which has its links, clock and event loop.
            leases: The gateway's leases.
            loads: The loads that gateways report.
            last_wave: Returns the latest wave of a zone that this gateway knows.
            publish: Applies a wave at this gateway and sends it to every other gateway.
            unversioned: Returns the function name without its version.
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
        self._lease_requests: dict[str, float | None] = {}  # zone -> time of grant, ms; None before
        self._requested: dict[str, RequestedDrain] = {}  # until the drain begins
        self._coordinators: dict[str, DrainCoordinator] = {}

    @property
    def _dispatcher(self) -> Any:
        return self._service.dispatcher

    # ---- leases
    def wants_lease(self, zone: str) -> bool:
        """Returns whether this gateway holds or has requested the lease of the zone's drain."""
        return zone in self._lease_requests

    def coordinator(self, zone: str) -> DrainCoordinator | None:
        """Returns the coordinator of the zone's drain; None if it is not at this gateway."""
        return self._coordinators.get(zone)

    def request_drain(self, zone: str, requested: RequestedDrain) -> None:
        """Requests the zone's lease, to begin the drain that an operator has requested."""
        if zone in self._coordinators:  # the last drain is completed but its lease is still held
            self.stop(zone)
        self._requested[zone] = requested
        self.request_lease(zone)

    def request_lease(self, zone: str) -> None:
        """Requests the zone's lease; coordination begins after it is granted."""
        self._lease_requests[zone] = None
        self._leases.request_lease(
            lease_name(zone),
            lambda fencing_token: self._lease_granted(zone, fencing_token),
            lambda fencing_token: self._lease_lost(zone),
        )

    def _lease_granted(self, zone: str, fencing_token: int) -> None:
        """Announces the drain under the new token, so that all gateways send their reports here.

        The plan is made from these reports, REPORT_COLLECTION_MS later.

        A drain that has completed in the meantime is not restarted. This can occur because voters
        wait for the lease while the drain is active, and its coordinator releases the lease only
        after the last wave.
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
        """Stops coordinating and releases the lease; this gateway remains a participant."""
        self._lease_requests.pop(zone, None)
        self._requested.pop(zone, None)
        self._coordinators.pop(zone, None)
        self._loads.forget(zone)
        self._leases.release(lease_name(zone))

    def release_leases(self) -> None:
        """Releases all leases when the gateway closes."""
        for zone in list(self._lease_requests):
            self._leases.release(lease_name(zone))

    def higher_token_seen(self, zone: str, fencing_token: int) -> None:
        """Passes another gateway's fencing token to the leases, if this gateway coordinates."""
        if zone in self._coordinators:
            self._leases.on_higher_token(lease_name(zone), fencing_token)

    # ---- coordination
    def tick(self) -> None:
        """Begins coordination once reports are collected; executes coordinators' due actions."""
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
        """Plans the drain from the collected reports and continues it from its last wave."""
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
        """Ends a drain before any session has moved, because known capacity is missing."""
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
        """Passes the latest reports to the coordinator and runs its due actions.

        Reports may show a pending copy that no order of the drain loaded: a request that was routed
        outside the zone may have caused the load.
        """
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
        """Processes a participant's report; drops it if this gateway gave up the zone's lease."""
        if report.zone not in self._lease_requests:
            return
        self._loads.add(report)
        coordinator = self._coordinators.get(report.zone)
        if coordinator is not None:
            self._execute(report.zone, coordinator.report_received(self._now(), report))

    def command_received(self, zone: str, command: CoordinatorCommand) -> None:
        """Executes an operator's command if the zone's drain is coordinated here."""
        coordinator = self._coordinators.get(zone)
        if coordinator is not None:
            self._execute(zone, coordinator.command(self._now(), command))

    def load_order_ended(self, version: str, host: str, is_success: bool) -> None:
        """Records the end of one of this gateway's load orders."""
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
        """Returns the versioned names under which this gateway currently calls the function."""
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
        """Releases the lease, unless another drain of the zone has been requested since then."""
        if self._coordinators.get(zone) is coordinator:
            self.stop(zone)
