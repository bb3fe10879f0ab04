"""Test driver for one coordinator with a simulated clock and simulated gateway reports."""

from cherrydoor.protocol.zone_drain import ParticipantReport
from cherrydoor.zone_drain.coordinator import DrainCoordinator
from cherrydoor.zone_drain.drain_actions import AnnounceWave, PreloadCopy, QueryHost
from cherrydoor.zone_drain.in_flight_check import HostCount
from cherrydoor.zone_drain.neighbour_capacity import ZoneState
from cherrydoor.zone_drain.session_groups import LoadedCopy, SessionGroup
from cherrydoor.zone_drain.wave_plan import plan_waves

GROUPS = [
    SessionGroup("gold", 10.0, 5.0, hosts_with_copy=("h1",)),
    SessionGroup("iron", 20.0, 1.0),
    SessionGroup("lead", 10.0, 0.5, hosts_with_copy=("h2",)),
]
RESPONSES_PER_REPORT = 100


class CoordinatorTrial:
    """Drives one coordinator and records the actions that it returned last.

    Attributes:
        now_ms: The coordinator's clock, ms.
        timely_share: Share of the reported responses within their latency objective.
        preloads: Functions whose copies were ordered after the last event.
        queried_hosts: Hosts that were queried after the last event.
        wave: The last announced wave; None before the first.
    """

    def __init__(
        self, groups=GROUPS, capacity=100.0, gateways=("a", "b"), last=None, token=1, hosts=()
    ):
        self.now_ms = 0.0
        self.timely_share = 1.0
        self.gateways = list(gateways)
        self.preloads = []
        self.queried_hosts = []
        self.wave = None
        self.coordinator = DrainCoordinator(
            "s",
            token,
            "a",
            plan_waves(groups, capacity, 0.5),
            lambda: self.gateways,
            0.0,
            last,
            [LoadedCopy("gold", "gold", "h1")],
            lambda: hosts,
        )
        self.take(self.coordinator.start(0.0))

    @property
    def state(self):
        return self.coordinator.state

    @property
    def reason(self):
        return self.coordinator.record.reason

    @property
    def shares(self):
        """Function -> moved share in the last wave."""
        return {one.function: one.share for one in self.wave.moved_shares}

    def take(self, actions):
        """Records the actions; returns whether a wave is among them."""
        self.preloads = [one.function for one in actions if isinstance(one, PreloadCopy)]
        self.queried_hosts = [one.host for one in actions if isinstance(one, QueryHost)]
        waves = [one.wave for one in actions if isinstance(one, AnnounceWave)]
        if waves:
            self.wave = waves[-1]
        return bool(waves)

    def confirm(self, gateways=None, in_flight=0, wave=None):
        """Adds reports of these gateways, with the coordinator's wave or another."""
        record = self.coordinator.record
        for name in gateways or self.gateways:
            report = ParticipantReport(
                name,
                1,
                "s",
                record.fencing_token,
                record.wave if wave is None else wave,
                in_flight,
                RESPONSES_PER_REPORT,
                int(RESPONSES_PER_REPORT * self.timely_share),
            )
            self.take(self.coordinator.report_received(self.now_ms, report))

    def load_copy(self, function, host):
        """Reports a copy loaded at the host."""
        self.take(self.coordinator.copy_loaded(self.now_ms, function, host))

    def answer_host(self, host, in_flight, arrived, gateways=()):
        """Answers the query of a host 700 ms later."""
        self.now_ms += 700.0
        self.take(self.coordinator.tick(self.now_ms))
        count = HostCount(in_flight, arrived, gateways)
        self.take(self.coordinator.host_answered(self.now_ms, host, count))

    def command(self, command):
        self.take(self.coordinator.command(self.now_ms, command))

    def later(self, ms):
        """Advances the clock; returns whether a wave was announced."""
        self.now_ms += ms
        return self.take(self.coordinator.tick(self.now_ms))

    def confirm_repeatedly(self, times):
        """Lets all gateways confirm, each time after 2 s."""
        for _ in range(times):
            self.later(2000.0)
            self.confirm()


def move_all(trial):
    """Continues until all waves of the plan have been announced."""
    while trial.state not in ("emptying", "empty"):
        trial.load_copy("iron", "h3")
        trial.confirm_repeatedly(1)


def zone_states(east, west=4, own=4, utilization=0.4, rate=20.0):
    """Returns the states of two neighbours and of the drained zone itself."""
    return {
        "east": ZoneState(east, rate, utilization),
        "west": ZoneState(west, rate, utilization),
        "s": ZoneState(own, 10.0, 0.4),
    }


def time_until_next_wave(trial, timely_share, max_steps=60):
    """Returns the time until another wave, ms, with the given timely share."""
    began_ms = trial.now_ms
    wave_before = trial.wave.wave
    trial.timely_share = timely_share
    while trial.wave.wave == wave_before and max_steps:
        trial.later(400.0)
        trial.confirm()
        max_steps -= 1
    return trial.now_ms - began_ms
