"""Measures canary rollouts by the rollout controller alone, over many seeded releases.

Measures how long it takes until each gateway has completed or rolled back the release, and how many
requests were harmed, by failure rate, request rate and the evidence that the gateways use.
`make bench-releases` prints the table and draws the chart that docs/measurements.md keeps.
"""

import sys
from random import Random
from statistics import median
from typing import NamedTuple

from cherrydoor.releases.controller import RolloutController
from cherrydoor.releases.messages import (
    AttemptEnded,
    LoadAhead,
    LoadEnded,
    ReleaseState,
    ReleaseUpdated,
    Tick,
    canary_position,
    version_name,
)
from cherrydoor.routing.messages import AttemptOutcome

START_MS = 1.8e12
# The name and the version determine which affinity keys get the canary first, so the recorded
# figures are valid only for these.
FUNCTION = "deed"
VERSION = 1
CANARY = version_name(FUNCTION, VERSION)
HOST = "h"
AFFINITY_KEYS = 100000
LOAD_MS = 300.0
TICK_MS = 1000.0
SLOWNESS_THAT_HARMS = 1.5
FINAL_STATES = {ReleaseState.COMPLETE, ReleaseState.ROLLED_BACK}

FIXED_SHARE = 0.1  # of the requests go to the fixed canary
FIXED_CANARY_MS = 600000.0
FIXED_FACTOR = 2  # the canary is rolled back above this multiple of the old version's error rate


class CanaryGateway:
    """A gateway's rollout controller; its preloads succeed at once."""

    def __init__(self):
        self.now = START_MS
        self.controller = RolloutController(START_MS)

    def take(self, message):
        for action in self.controller.take(self.now, message):
            if isinstance(action, LoadAhead):
                self.take(LoadEnded(action.name, AttemptOutcome.SUCCEEDED, LOAD_MS))

    def call(self, function, affinity_key):
        return self.controller.version_for(function, affinity_key)

    def state(self):
        return self.controller.functions[FUNCTION].release.state

    def slow_above_ms(self, function):
        return self.controller.slow_above_ms(function)


class FixedCanaryGateway(CanaryGateway):
    """The baseline: a fixed share of requests for ten minutes, then one comparison.

    Only errors of this gateway's own attempts are compared.
    """

    def __init__(self):
        super().__init__()
        self.release_state = None
        self.started_at_ms = 0.0
        self.requests = {FUNCTION: 0, CANARY: 0}
        self.errors = {FUNCTION: 0, CANARY: 0}

    def take(self, message):
        if isinstance(message, ReleaseUpdated):
            self.release_state = ReleaseState.CANARY
            self.started_at_ms = self.now
        elif isinstance(message, AttemptEnded):
            self.requests[message.name] += 1
            self.errors[message.name] += message.outcome == AttemptOutcome.ERROR
        canary_is_over = self.now - self.started_at_ms > FIXED_CANARY_MS
        if self.release_state == ReleaseState.CANARY and canary_is_over:
            rolled_back = self.error_rate(CANARY) > FIXED_FACTOR * self.error_rate(FUNCTION)
            self.release_state = ReleaseState.ROLLED_BACK if rolled_back else ReleaseState.COMPLETE

    def error_rate(self, name):
        return self.errors[name] / max(1, self.requests[name])

    def call(self, function, affinity_key):
        shares = {ReleaseState.CANARY: FIXED_SHARE, ReleaseState.COMPLETE: 1.0}
        share = shares.get(self.release_state, 0.0)
        return CANARY if canary_position(function, VERSION, affinity_key) < share else function

    def state(self):
        return self.release_state


class Result(NamedTuple):
    """The result of one release.

    Attributes:
        took_s: Seconds until all gateways had completed or rolled back the release.
        states: Each gateway's final state of the release.
        harmed: Number of requests that failed or were slow because of the canary.
    """

    took_s: float
    states: list
    harmed: int


class Fleet:
    """Gateways that share only the hosts of one function."""

    def __init__(
        self,
        seed,
        gateways=10,
        requests_per_second=10.0,
        canary_failure_rate=0.0,
        canary_slowness=1.0,
        baseline_failure_rate=0.0,
        host_tallies=True,
        gateway_type=CanaryGateway,
    ):
        """Sets up the gateways.

        Args:
            seed: Seed of requests and their outcomes.
            gateways: Number of gateways.
            requests_per_second: Request rate of all gateways together.
            canary_failure_rate: Share of canary requests that fail.
            canary_slowness: Factor by which canary requests take longer.
            baseline_failure_rate: Share of the old version's requests that fail.
            host_tallies: Whether hosts report their counts.
            gateway_type: Class of the gateways.
        """
        self.random = Random(seed)
        self.gateways = [gateway_type() for _ in range(gateways)]
        self.requests_per_second = requests_per_second
        self.canary_failure_rate = canary_failure_rate
        self.canary_slowness = canary_slowness
        self.baseline_failure_rate = baseline_failure_rate
        self.host_tallies = host_tallies
        self.elapsed_ms = 0.0
        self.released_at_ms = 0.0
        self.tallies = {}
        self.harmed = 0

    def request(self):
        gateway = self.random.choice(self.gateways)
        affinity_key = f"d{self.random.randrange(AFFINITY_KEYS)}"
        gateway.now = START_MS + self.elapsed_ms
        name = gateway.call(FUNCTION, affinity_key)
        is_canary = name != FUNCTION
        failure_rate = self.canary_failure_rate if is_canary else self.baseline_failure_rate
        error = self.random.random() < failure_rate
        slowness = self.canary_slowness if is_canary else 1.0
        took_ms = self.random.lognormvariate(4.0, 0.3) * slowness
        if is_canary and (error or self.canary_slowness > SLOWNESS_THAT_HARMS):
            self.harmed += 1
        slow_above_ms = gateway.slow_above_ms(FUNCTION)
        slow = not error and bool(slow_above_ms) and took_ms > slow_above_ms
        tally = self.add_to_tally(name, error, slow)
        gateway.take(
            AttemptEnded(
                name,
                HOST,
                AttemptOutcome.ERROR if error else AttemptOutcome.SUCCEEDED,
                took_ms,
                tally=tally if self.host_tallies else None,
            )
        )

    def add_to_tally(self, name, error, slow):
        runs, errors, slow_runs = self.tallies.get(name, (0, 0, 0))
        self.tallies[name] = (runs + 1, errors + error, slow_runs + slow)
        return self.tallies[name]

    def pass_time(self, seconds):
        until_ms = self.elapsed_ms + seconds * 1000
        while self.elapsed_ms < until_ms:
            gap_ms = self.random.expovariate(self.requests_per_second) * 1000
            while gap_ms > 0:
                step_ms = min(gap_ms, TICK_MS - self.elapsed_ms % TICK_MS or TICK_MS)
                self.elapsed_ms += step_ms
                gap_ms -= step_ms
                if gap_ms > 0:
                    self.take_everywhere(Tick())
            self.request()

    def take_everywhere(self, message):
        for gateway in self.gateways:
            gateway.now = START_MS + self.elapsed_ms
            gateway.take(message)

    def release(self):
        self.take_everywhere(ReleaseUpdated(FUNCTION, VERSION))
        self.released_at_ms = self.elapsed_ms

    def states(self):
        return [gateway.state() for gateway in self.gateways]

    def run(self, longest_s=900.0, warm_up_s=60.0):
        self.pass_time(warm_up_s)
        self.release()
        while (
            self.elapsed_ms - self.released_at_ms < longest_s * 1000
            and not set(self.states()) <= FINAL_STATES
        ):
            self.pass_time(2.0)
        took_s = (self.elapsed_ms - self.released_at_ms) / 1000
        return Result(took_s, self.states(), self.harmed)


OPTIONS = {
    "tallies of hosts": {},
    "own evidence alone": {"host_tallies": False},
    "fixed canary": {"gateway_type": FixedCanaryGateway},
}
GATEWAYS = 10
CHART_FAILURE_RATE = 0.1


class Row(NamedTuple):
    """A row of the table, with medians over the releases."""

    requests_per_second: float
    failure_rate: float
    option: str
    took_s: float
    harmed: float


def measure(requests_per_second, failure_rate, option, count):
    """Runs `count` releases, prints their row and returns it."""
    results = [
        Fleet(
            seed,
            GATEWAYS,
            requests_per_second,
            canary_failure_rate=failure_rate,
            **OPTIONS[option],
        ).run(1500)
        for seed in range(count)
    ]
    took_s = median(result.took_s for result in results)
    longest_s = max(result.took_s for result in results)
    harmed = median(result.harmed for result in results)
    rolled_back, complete = (
        sum(result.states.count(state) for result in results) / GATEWAYS / count
        for state in (ReleaseState.ROLLED_BACK, ReleaseState.COMPLETE)
    )
    print(
        f"{requests_per_second:10.0f} {failure_rate:6.2f}  {option:20} {took_s:12.0f}"
        f" {longest_s:8.0f} {harmed:18.0f} {rolled_back:14.2f} {complete:8.2f}",
        flush=True,
    )
    return Row(requests_per_second, failure_rate, option, took_s, harmed)


def main(count=8):
    """Prints the table; draws the chart into the file named on the command line, if any."""
    print(
        "requests/s  fails  goes by               s to the end (median, most)"
        "  requests harmed  rolled back, complete"
    )
    rows = [
        measure(requests_per_second, failure_rate, option, count)
        for requests_per_second in (30.0, 10.0, 2.0)
        for failure_rate in (0.5, 0.1, 0.01, 0.0)
        for option in OPTIONS
    ]
    if len(sys.argv) > 1:
        draw(rows, sys.argv[1])


def draw(rows, path):
    """Draws two panels by request rate: the duration, and the number of harmed requests."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, (time_axis, harm_axis) = plt.subplots(1, 2, figsize=(10, 3.6), sharey=False)
    for option in OPTIONS:
        chosen = [
            row for row in rows if row.failure_rate == CHART_FAILURE_RATE and row.option == option
        ]
        rates = [row.requests_per_second for row in chosen]
        time_axis.plot(rates, [row.took_s for row in chosen], marker="o", label=option)
        harm_axis.plot(rates, [row.harmed for row in chosen], marker="o", label=option)
    time_axis.set_title("s until all gateways have rolled it back", fontsize=9)
    harm_axis.set_title("requests harmed", fontsize=9)
    for axis in (time_axis, harm_axis):
        axis.set_xscale("log")
        axis.set_yscale("log")
        axis.set_xlabel("requests a second over ten gateways")
    time_axis.legend(fontsize=8)
    figure.suptitle("a version that fails on one in ten requests", fontsize=10)
    figure.tight_layout()
    figure.savefig(path)


if __name__ == "__main__":
    main()
