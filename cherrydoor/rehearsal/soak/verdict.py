"""The verdict on a soak, from the records of clients and hosts alone."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from math import sqrt

from cherrydoor.rehearsal.soak.world import ACCEPTED, SENT

NOTIFIED_AFTER_S = 4.0  # from the beginning of an outage, by the protocol page
SLACK_S = 0.05  # that the protocol page adds to each time limit
ANSWER_SLACK_S = 0.5  # an answer later than this after its time counts as none
LEFT_SLACK_S = 0.1  # an attempt later than this after its client has gone is a break
# A host in slow start may get so many requests of what it can do, by the settings of the runs.
OVERLOAD_FACTOR, WINDOW_S, COLD_S, COLD_LEVEL = 3.0, 3.0, 5.0, 0.2
USED_SHARE = 0.5  # of a warm host's capacity that the clients' rate needs
LEAST_SERVED = 0.33  # of the requests, by the acceptance of short days


@dataclass(frozen=True)
class Break:
    """One broken rule, with its time in s of the run and what is known of it."""

    rule: str
    time_s: float
    text: str


class Verdict:
    """Judges one run; `breaks` holds what was found."""

    def __init__(self, run):
        self.run = run
        self.plan = run.plan
        self.breaks = []
        self.requests = {request.id: request for request in run.requests}
        self.judge_drains()
        self.judge_answers()
        self.judge_effects()
        self.judge_left_clients()
        self.judge_cold_hosts()
        self.judge_share()

    def add(self, rule, time_s, text):
        self.breaks.append(Break(rule, round(time_s - self.run.began_s, 3), text))

    # ---- drains
    def told_s(self, gateway, time_s):
        """When a gateway counts as notified of what was published at this time of the run."""
        outage = self.plan.outage_at(gateway, time_s)
        return time_s if outage is None else max(time_s, outage.begins_s + NOTIFIED_AFTER_S)

    def judge_drains(self):
        limit_s = self.plan.grace_ms / 1000 + SLACK_S
        for event in self.run.host_events:
            if event.kind == ACCEPTED:
                continue
            at_s = event.time_s - self.run.began_s
            for drain in self.run.drains_of(event.host):
                ended_s = drain.back_s if drain.back_s is not None else at_s + 1
                late_s = at_s - self.told_s(event.gateway, drain.begins_s) - limit_s
                if drain.begins_s <= at_s < ended_s and late_s > self.run.lag_at(event.time_s):
                    text = f"{event.kind} {event.request} to host {event.host} from gateway "
                    text += f"{event.gateway}, {late_s:.3f} s late"
                    self.add("drain", event.time_s, text)

    # ---- answers
    def judge_answers(self):
        for request in self.run.requests:
            if request.left_s is not None or self.is_excused(request):
                continue
            due_s = request.sent_s + request.deadline_s + ANSWER_SLACK_S
            text = f"{request.id} {request.request_class} at gateway {request.gateway}"
            if request.answered_s is None:
                self.add("lost", request.sent_s, f"{text}: no answer")
            elif request.answered_s > due_s + self.run.lag_at(request.answered_s):
                self.add("lost", request.sent_s, f"{text}: answered late")
            elif not request.right_body:
                self.add("lost", request.sent_s, f"{text}: another body")

    def is_excused(self, request):
        """Held by a process that was killed outright, or that stood still meanwhile."""
        until_s = request.answered_s or request.sent_s + request.deadline_s + 1.0
        return any(
            begins_s - SLACK_S <= until_s and request.sent_s <= ends_s
            for begins_s, ends_s in self.run.excused[request.gateway]
        )

    # ---- effects
    def judge_effects(self):
        runs = Counter(e.request for e in self.run.host_events if e.kind == ACCEPTED)
        for request, count in runs.items():
            known = self.requests.get(request)
            if known is not None and known.request_class == "file" and count > 1:
                self.add("duplicate", known.sent_s, f"{request} ran {count} times")

    def judge_left_clients(self):
        for event in self.run.host_events:
            known = self.requests.get(event.request)
            if known is None or known.left_s is None:
                continue
            late_s = event.time_s - known.left_s - LEFT_SLACK_S
            if late_s > self.run.lag_at(event.time_s) + SLACK_S and not self.is_excused(known):
                self.add(
                    "lost",
                    event.time_s,
                    f"{event.request} sent {late_s:.3f} s after its client left",
                )

    # ---- hosts in slow start
    def judge_cold_hosts(self):
        rate = self.plan.rate * self.plan.gateways / self.plan.hosts
        capacity = rate / USED_SHARE
        for host in range(self.plan.hosts):
            times_s = [
                event.time_s - self.run.began_s
                for event in self.run.host_events
                if event.host == host and event.kind == SENT
            ]
            for drain in self.run.drains_of(host):
                if drain.back_s is not None:
                    self.judge_restart(host, drain.back_s, times_s, capacity)

    def judge_restart(self, host, back_s, times_s, capacity):
        """Each window that begins with a request: its requests against what is allowed."""
        cold_s = [time_s for time_s in times_s if back_s <= time_s < back_s + COLD_S]
        for begin_s in cold_s:
            count = sum(begin_s <= time_s < begin_s + WINDOW_S for time_s in times_s)
            middle_s = begin_s - back_s + WINDOW_S / 2
            level = min(1.0, COLD_LEVEL + (1 - COLD_LEVEL) * middle_s / COLD_S)
            allowed = OVERLOAD_FACTOR * level * capacity * WINDOW_S
            chance = 2 * sqrt(allowed) + 2 if allowed >= 30 else 3 * sqrt(allowed) + 3
            if count > allowed + chance:
                text = f"host {host}: {count} requests in {WINDOW_S} s, {allowed:.1f} allowed"
                self.add("failback", self.run.began_s + begin_s, text)
                return

    # ---- service
    def share(self, requests):
        served = sum(request.status == 200 for request in requests)
        return served / len(requests) if requests else 1.0

    def judge_share(self):
        groups = defaultdict(list)
        for request in self.run.requests:
            if request.left_s is None and not self.is_excused(request):
                groups["all"].append(request)
                groups[f"class {request.request_class}"].append(request)
                at_s = request.sent_s - self.run.began_s
                if self.plan.outage_at(request.gateway, at_s):
                    groups["in the outage"].append(request)
        self.shares = {name: round(self.share(group), 3) for name, group in groups.items()}
        for name, share in self.shares.items():
            if share < LEAST_SERVED:
                self.add("served", self.run.began_s, f"{share} of {name}")
