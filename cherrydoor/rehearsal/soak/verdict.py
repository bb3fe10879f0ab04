"""The verdict on a soak run, judged only from what clients and hosts recorded."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from math import sqrt

from cherrydoor.rehearsal.soak.world import ACCEPTED, SENT

# The protocol page counts a gateway as notified this time after the start of a discovery outage.
NOTIFIED_AFTER_S = 4.0
TIME_LIMIT_SLACK_S = 0.05  # the protocol page adds it to each time limit
RESPONSE_SLACK_S = 0.5  # a response later than this after the deadline counts as lost
DISCONNECT_SLACK_S = 0.1  # later attempts for a disconnected client violate a rule
# A host in slow start may get at most OVERLOAD_FACTOR times its present capacity in any window of
# OVERLOAD_WINDOW_S. That capacity rises from INITIAL_WARM_UP_LEVEL of a warm host's to all of it
# over SLOW_START_S. The values are those of the runs' settings.
OVERLOAD_FACTOR, OVERLOAD_WINDOW_S, SLOW_START_S, INITIAL_WARM_UP_LEVEL = 3.0, 3.0, 5.0, 0.2
UTILIZATION = 0.5  # share of a warm host's capacity that the clients' rate needs
MIN_SERVED_SHARE = 0.33  # share of requests, as the acceptance of short days requires it


@dataclass(frozen=True)
class Violation:
    """One violation of a rule.

    Attributes:
        rule: ``drain`` for new work sent to a draining host after the grace period, ``lost`` for a
            response that is missing, late or wrong and for an attempt after the client has
            disconnected, ``duplicate`` for an at-most-once request that ran more than once,
            ``failback`` for too many requests to a host in slow start, ``served`` for too small a
            share of successful responses, ``crash`` for a gateway that exited unexpectedly.
        time_s: Seconds since the start of the run.
        text: What was found.
    """

    rule: str
    time_s: float
    text: str


class Verdict:
    """Judges one run.

    Attributes:
        violations: The violations that were found.
        served_shares: Group of requests -> its share of successful responses.
    """

    def __init__(self, run):
        self.run = run
        self.plan = run.plan
        self.violations = []
        self.requests = {request.id: request for request in run.requests}
        self.check_drains()
        self.check_responses()
        self.check_at_most_once()
        self.check_disconnected_clients()
        self.check_slow_start()
        self.check_served_shares()

    def add(self, rule, time_s, text):
        self.violations.append(Violation(rule, round(time_s - self.run.started_s, 3), text))

    # ---- drains
    def notified_s(self, gateway, time_s):
        """Returns when a gateway counts as notified of a change published at ``time_s``."""
        outage = self.plan.outage_at(gateway, time_s)
        return time_s if outage is None else max(time_s, outage.start_s + NOTIFIED_AFTER_S)

    def check_drains(self):
        limit_s = self.plan.grace_ms / 1000 + TIME_LIMIT_SLACK_S
        for event in self.run.host_events:
            if event.kind == ACCEPTED:
                continue
            at_s = event.time_s - self.run.started_s
            for drain in self.run.drains_of(event.host):
                drain_end_s = drain.restarted_s if drain.restarted_s is not None else at_s + 1
                late_s = at_s - self.notified_s(event.gateway, drain.start_s) - limit_s
                if drain.start_s <= at_s < drain_end_s and late_s > self.run.lag_at(event.time_s):
                    text = f"{event.kind} {event.request} to host {event.host} from gateway "
                    text += f"{event.gateway}, {late_s:.3f} s late"
                    self.add("drain", event.time_s, text)

    # ---- responses
    def check_responses(self):
        for request in self.run.requests:
            if request.disconnected_s is not None or self.was_interrupted(request):
                continue
            due_s = request.sent_s + request.deadline_s + RESPONSE_SLACK_S
            text = f"{request.id} {request.request_class} at gateway {request.gateway}"
            if request.responded_s is None:
                self.add("lost", request.sent_s, f"{text}: no response")
            elif request.responded_s > due_s + self.run.lag_at(request.responded_s):
                self.add("lost", request.sent_s, f"{text}: response after the deadline")
            elif not request.body_matches:
                self.add("lost", request.sent_s, f"{text}: response has the wrong body")

    def was_interrupted(self, request):
        """Returns whether the gateway's process was paused or killed without notice meanwhile."""
        until_s = request.responded_s or request.sent_s + request.deadline_s + 1.0
        return any(
            start_s - TIME_LIMIT_SLACK_S <= until_s and request.sent_s <= end_s
            for start_s, end_s in self.run.interruptions[request.gateway]
        )

    # ---- repeated and unwanted attempts
    def check_at_most_once(self):
        runs = Counter(event.request for event in self.run.host_events if event.kind == ACCEPTED)
        for request, count in runs.items():
            client_request = self.requests.get(request)
            if client_request is not None and client_request.request_class == "file" and count > 1:
                self.add("duplicate", client_request.sent_s, f"{request} ran {count} times")

    def check_disconnected_clients(self):
        for event in self.run.host_events:
            client_request = self.requests.get(event.request)
            if client_request is None or client_request.disconnected_s is None:
                continue
            late_s = event.time_s - client_request.disconnected_s - DISCONNECT_SLACK_S
            if late_s > self.run.lag_at(
                event.time_s
            ) + TIME_LIMIT_SLACK_S and not self.was_interrupted(client_request):
                self.add(
                    "lost",
                    event.time_s,
                    f"{event.request} sent {late_s:.3f} s after its client disconnected",
                )

    # ---- hosts in slow start
    def check_slow_start(self):
        requests_per_s = self.plan.requests_per_s * self.plan.gateways / self.plan.hosts
        capacity = requests_per_s / UTILIZATION
        for host in range(self.plan.hosts):
            sent_times_s = [
                event.time_s - self.run.started_s
                for event in self.run.host_events
                if event.host == host and event.kind == SENT
            ]
            for drain in self.run.drains_of(host):
                if drain.restarted_s is not None:
                    self.check_restarted_host(host, drain.restarted_s, sent_times_s, capacity)

    def check_restarted_host(self, host, restarted_s, sent_times_s, capacity):
        """Compares the requests in each window that starts with a request to those allowed."""
        slow_start_times_s = [
            time_s for time_s in sent_times_s if restarted_s <= time_s < restarted_s + SLOW_START_S
        ]
        for window_start_s in slow_start_times_s:
            count = sum(
                window_start_s <= time_s < window_start_s + OVERLOAD_WINDOW_S
                for time_s in sent_times_s
            )
            middle_s = window_start_s - restarted_s + OVERLOAD_WINDOW_S / 2
            level = min(
                1.0, INITIAL_WARM_UP_LEVEL + (1 - INITIAL_WARM_UP_LEVEL) * middle_s / SLOW_START_S
            )
            allowed = OVERLOAD_FACTOR * level * capacity * OVERLOAD_WINDOW_S
            tolerance = 2 * sqrt(allowed) + 2 if allowed >= 30 else 3 * sqrt(allowed) + 3
            if count > allowed + tolerance:
                text = (
                    f"host {host}: {count} requests in {OVERLOAD_WINDOW_S} s, {allowed:.1f} allowed"
                )
                self.add("failback", self.run.started_s + window_start_s, text)
                return

    # ---- share of requests served
    def served_share(self, requests):
        served = sum(request.status == 200 for request in requests)
        return served / len(requests) if requests else 1.0

    def check_served_shares(self):
        groups = defaultdict(list)
        for request in self.run.requests:
            if request.disconnected_s is None and not self.was_interrupted(request):
                groups["all"].append(request)
                groups[f"class {request.request_class}"].append(request)
                at_s = request.sent_s - self.run.started_s
                if self.plan.outage_at(request.gateway, at_s):
                    groups["in the outage"].append(request)
        self.served_shares = {
            name: round(self.served_share(group), 3) for name, group in groups.items()
        }
        for name, served_share in self.served_shares.items():
            if served_share < MIN_SERVED_SHARE:
                self.add(
                    "served", self.run.started_s, f"served share {served_share} in group {name}"
                )
