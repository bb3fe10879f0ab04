"""Zone drains at one gateway: applies waves, sends reports, coordinates if it holds the lease."""

from asyncio import TimerHandle
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import structlog

from cherrydoor.leader_election.service import LeaseService
from cherrydoor.membership.service import MembershipService
from cherrydoor.protocol.basics import SUCCEEDED
from cherrydoor.protocol.zone_drain import (
    CoordinatorCommand,
    DrainState,
    DrainWave,
    OperatorCommand,
    ParticipantReport,
)
from cherrydoor.zone_drain.coordination import DrainCoordinators
from cherrydoor.zone_drain.drain_status import Table
from cherrydoor.zone_drain.listed_hosts import calls_in_flight
from cherrydoor.zone_drain.local_load import LocalLoad, ResponseCounts, zone_loads
from cherrydoor.zone_drain.operator_commands import OperatorCommands
from cherrydoor.zone_drain.participant import DrainDecision, Participant, unversioned
from cherrydoor.zone_drain.participant_reports import report_interval_ms
from cherrydoor.zone_drain.reported_loads import ReportedLoads

log = structlog.get_logger()
TICK_S = 0.25  # between two checks for due reports and actions
TIMER_TOLERANCE_MS = 1.0  # a report may be sent that much early, as timers can fire early
NO_RESPONSES = ResponseCounts(0, 0)


class SentReport(NamedTuple):
    """The time of this gateway's last report on a drain, and the version of its wave then."""

    sent_at_ms: float
    version: tuple[int, int]


def version_reader(releases: Any) -> Callable[[str], str]:
    """Returns how function names are read: without their version if the gateway has releases."""
    return (lambda name: name) if releases is None else unversioned


class ZoneDrainService:
    """One gateway's zone drains and their interface for the dispatcher.

    Owns the participant, the coordinators, the operator commands and this gateway's own load.
    """

    def __init__(self, peers: MembershipService, leases: LeaseService):
        """Subscribes to the gateway's peers; reports are sent only after `start`."""
        self._peers = peers
        self._leases = leases
        self._service = peers.service
        self._now = peers.now
        self._loop = peers.loop
        self._gateway = peers.local.name
        self._timer: TimerHandle | None = None
        self._sent_reports: dict[str, SentReport] = {}  # by zone; as many as there are drains
        request_classes = {one.name: one for one in self._service.config.lease.request_classes}
        self.participant = Participant()
        self.load = LocalLoad(request_classes, self._service.config.benefits, self._now())
        unversioned_name = version_reader(self._service.releases)
        self._reported_loads = ReportedLoads(self._now, unversioned_name)
        self.coordinators = DrainCoordinators(
            peers,
            leases,
            self._reported_loads,
            lambda zone: self.participant.drains.get(zone),
            lambda wave: self._wave_received("", wave),
            unversioned_name,
        )
        self._operator_commands = OperatorCommands(
            lambda: self._service.dispatcher,
            lambda: self.participant,
            self.coordinators,
            self._reported_loads,
            self._add_own_report,
            self._send_command,
        )
        peers.link_listeners.append(self._peer_linked)
        peers.subscribe(DrainWave, self._wave_received)
        peers.subscribe(ParticipantReport, self._report_received)
        peers.subscribe(OperatorCommand, self._command_received)

    def start(self) -> None:
        """Starts the timer that reports and coordinates."""
        self._tick()

    def close(self) -> None:
        """Stops the timer and releases the leases."""
        if self._timer:
            self._timer.cancel()
        self.coordinators.release_leases()

    def answer_command(self, request: Mapping[str, Any]) -> Table:
        """Answers an operator's command (operator_commands.py)."""
        return self._operator_commands.answer(request)

    # ---- the dispatcher's interface
    def _decide(self, request: Any) -> DrainDecision:
        return self.load.decide(self.participant, self._now(), request)

    def rejection_reason(self, request: Any) -> str:
        """Returns why a drain rejects the request; "" if none does."""
        return self._decide(request).rejection_reason if self.participant.drains else ""

    def excluded_zone(self, request: Any, function: str) -> str:
        """Returns the drained zone that the request must avoid; "" if there is none.

        Args:
            request: The request.
            function: The versioned name of the request's function.
        """
        self.load.request_routed(function, request.request_class)
        return self._decide(request).excluded_zone if self.participant.drains else ""

    def zones_with_moved_sessions(self) -> list[str]:
        """Returns the zones from which sessions have moved; releases also preload outside them."""
        return self.participant.zones_with_moved_sessions()

    def attempt_started(self, function: str, zone: str) -> None:
        """Counts an attempt at a host of the zone."""
        self.load.attempt_rates.attempt_started(function, zone)

    def request_finished(self, pending: Any, outcome: str, now_ms: float) -> None:
        """Counts a response."""
        duration_ms = now_ms - pending.accepted_at_ms
        request_class = pending.request.request_class
        self.load.request_finished(request_class, outcome == SUCCEEDED, duration_ms)

    def load_order_ended(self, function: str, host: str, is_success: bool) -> None:
        """Records the end of a load order of this gateway; `function` is a versioned name."""
        self.coordinators.load_order_ended(function, host, is_success)

    # ---- waves
    def _wave_received(self, sender: str, wave: DrainWave) -> None:
        """Applies a wave if it is new, and forwards it once to every other connected peer.

        Args:
            sender: The peer that sent it; "" if this gateway announces it.
            wave: The wave.
        """
        if not self.participant.accept_wave(self._now(), wave):
            self._send_newer_wave(sender, wave)
            return
        self._report_copies_to_routing(wave)
        for name in list(self._peers.connections):
            if name != sender:
                self._peers.send(name, wave)
        log.info(
            "zone drain wave accepted",
            gateway=self._gateway,
            zone=wave.zone,
            fencing_token=wave.fencing_token,
            wave=wave.wave,
            state=str(wave.state),
            coordinator=wave.coordinator,
            reason=wave.reason,
        )
        if wave.coordinator != self._gateway:
            self.coordinators.higher_token_seen(wave.zone, wave.fencing_token)

    def _send_newer_wave(self, sender: str, wave: DrainWave) -> None:
        """Sends the current wave to a sender that has an older one."""
        known = self.participant.drains.get(wave.zone)
        if known is not None and sender and known.version > wave.version:
            self._peers.send(sender, known)

    def _report_copies_to_routing(self, wave: DrainWave) -> None:
        dispatcher = self._service.dispatcher
        for copy in wave.ready_copies:
            if copy.function in dispatcher.router.history.functions:
                self._service.post(dispatcher.copy_reported, copy.function, copy.host)

    def _peer_linked(self, name: str) -> None:
        """Sends the current waves to a peer that has just connected and may have missed them."""
        for wave in self.participant.drains.values():
            self._peers.send(name, wave)

    # ---- reports
    def _report(
        self, zone: str, version: tuple[int, int], counts: ResponseCounts
    ) -> ParticipantReport:
        dispatcher = self._service.dispatcher
        fencing_token, wave = version
        return ParticipantReport(
            gateway=self._gateway,
            incarnation=self._peers.local.incarnation,
            zone=zone,
            fencing_token=fencing_token,
            wave=wave,
            in_flight=calls_in_flight(dispatcher, zone),
            responses=counts.responses,
            timely_responses=counts.timely_responses,
            function_loads=self.load.function_loads(
                self._now(), zone, dispatcher.router.zone_table
            ),
            zone_loads=zone_loads(dispatcher.router.zone_table),
        )

    def _add_own_report(self, zone: str) -> None:
        """Adds this gateway's own report, for a plan that an operator requests here."""
        self._reported_loads.add(self._report(zone, (0, 0), NO_RESPONSES))

    def _report_if_due(self, zone: str, wave: DrainWave, now_ms: float) -> None:
        """Confirms a new wave to the coordinator at once; then reports at regular intervals."""
        interval_ms = report_interval_ms(len(self._peers.members.alive_names()))
        sent = self._sent_reports.get(zone)
        if sent is not None and sent.version == wave.version:
            is_completed = wave.state == DrainState.COMPLETED  # reported only once
            if is_completed or now_ms - sent.sent_at_ms < interval_ms - TIMER_TOLERANCE_MS:
                return
        self._sent_reports[zone] = SentReport(now_ms, wave.version)
        report = self._report(zone, wave.version, self.load.take_response_counts())
        self._send(wave.coordinator, report)

    def _report_received(self, sender: str, report: ParticipantReport) -> None:
        """Processes a report that is for this gateway; forwards any other to its recipient."""
        if report.recipient == self._gateway:
            self.coordinators.report_received(report)
        else:
            self._peers.send(report.recipient, report)

    def _command_received(self, sender: str, message: OperatorCommand) -> None:
        """Executes a command that is for this gateway; forwards any other to its recipient."""
        if message.recipient == self._gateway:
            self.coordinators.command_received(message.zone, message.command)
        else:
            self._peers.send(message.recipient, message)

    def _send_command(self, coordinator: str, zone: str, command: CoordinatorCommand) -> None:
        self._send(coordinator, OperatorCommand(zone, command))

    def _send(self, coordinator: str, message: ParticipantReport | OperatorCommand) -> None:
        """Sends to the coordinator: directly if it is connected, else through a voter."""
        message.recipient = coordinator
        if coordinator == self._gateway:
            if isinstance(message, ParticipantReport):
                self._loop.call_soon(self._report_received, "", message)
            else:
                self._loop.call_soon(self._command_received, "", message)
        elif not self._peers.send(coordinator, message):
            voters = self._leases.voters
            forwarder = next((name for name in voters if name in self._peers.connections), None)
            if forwarder is not None:
                self._peers.send(forwarder, message)

    # ---- the timer
    def _tick(self) -> None:
        if self._peers.is_closed:
            return
        self._timer = self._loop.call_later(TICK_S, self._tick)
        now_ms = self._now()
        self.load.attempt_rates.decay(now_ms)
        is_voter = self._gateway in self._leases.voters
        for zone, wave in list(self.participant.drains.items()):
            self._report_if_due(zone, wave, now_ms)
            is_active = wave.state != DrainState.COMPLETED
            if is_active and is_voter and not self.coordinators.wants_lease(zone):
                self.coordinators.request_lease(zone)  # to take over if the coordinator is lost
        self.coordinators.tick()
