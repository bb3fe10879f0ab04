"""Judges the five rules from the traffic that clients and hosts recorded, and measures how well clients were served.

Reads only the Parquet files of a run, and imports nothing of the gateway or the router, so that a fault of theirs can't
hide itself. Times are ms on the machine's monotonic clock. Wherever times from two processes are compared, `SLACK_MS`
is allowed for the network between them and their event loops.

In the recorded rows an "event" is a request, and a "launch" is one attempt of a request as it reached a host.
"""

import json
from collections import Counter, defaultdict
from pathlib import Path

import numpy as np

from cherrydoor.rehearsal.answers import AnswerAudit
from cherrydoor.rehearsal.effects import EffectAudit
from cherrydoor.rehearsal.seen import SLACK_MS, Seen, Violation, launch_key
from cherrydoor.rehearsal.seen import UnreadableTrafficError as UnreadableTrafficError
from cherrydoor.rehearsal.service import ServiceLevels
from cherrydoor.rehearsal.takeover_audit import TakeoverAudit


class Audit(AnswerAudit, EffectAudit, TakeoverAudit, ServiceLevels):
    """All checks and figures of one run."""

    def __init__(self, folder):
        """Read the run's folder, or its `traffic` folder if it has one.

        Raises:
            UnreadableTrafficError: There is no traffic, or the conductor's rows lack the terms or the start of the run.
        """
        self.seen = seen = Seen(
            Path(folder) / "traffic" if (Path(folder) / "traffic").exists() else folder
        )
        terms_rows = seen.of("conductor", "terms")
        begun = seen.of("conductor", "begun")
        if not terms_rows or not begun:
            raise UnreadableTrafficError('the conductor\'s rows lack a "terms" or a "begun" row')
        self.terms, self.begun = json.loads(terms_rows[0]["text"]), begun[0]["t"]
        self.warm = begun[0]["a"]
        self.violations, self.excused, self.starved_of_cpu = [], Counter(), []
        # request -> row of its sending; a repeat by the client is a request of its own
        self.sent = {row["id"]: row for row in seen.of("client", "sent")}
        # request -> rows of how its client saw it start and end, in order of time
        self.client_results = defaultdict(list)
        for what in ("answer", "gave up", "withdrew", "cut", "started", "not known"):
            for row in seen.of("client", what):
                self.client_results[row["event"]].append(row)
        for rows in self.client_results.values():
            rows.sort(key=lambda r: r["t"])
        self.launches = defaultdict(list)  # request -> launches that hosts recorded
        for row in seen.of("host", "launch"):
            self.launches[row["event"]].append(row)
        self.outcomes = {launch_key(r): r for r in seen.of("host", "outcome")}
        self.killed_intervals = self.intervals("gateway killed", "gateway up")
        self.stopped_intervals = self.intervals("gateway stopped", "gateway continued")
        self.cut_off_intervals = self.intervals("gateway cut off", "gateway reached")
        # process -> (when, ms without a core); under "" the pauses of the whole machine
        self.core_waits = defaultdict(list)
        for what, name in (("waited", None), ("paused", "")):
            for row in seen.of("conductor", what):
                self.core_waits[row["who"] if name is None else name].append((row["t"], row["a"]))

    def intervals(self, begins, ends):
        """Return, by gateway, the intervals from a row of the first kind to the next row of the second.

        An interval that no row ends lasts forever.
        """
        found = defaultdict(list)
        for row in self.seen.of("conductor", begins):
            end = min(
                (
                    r["t"]
                    for r in self.seen.of("conductor", ends)
                    if r["who"] == row["who"] and r["t"] >= row["t"]
                ),
                default=float("inf"),
            )
            found[row["who"]].append((row["t"], end))
        return found

    def in_interval(self, intervals, gateway, t, after_ms=0.0):
        """Return whether `t` lies in one of the gateway's intervals, or up to `after_ms` after its end.

        An interval also starts `SLACK_MS` early, because its times and `t` come from different processes.
        """
        return any(
            begin - SLACK_MS <= t <= end + after_ms for begin, end in intervals.get(gateway, ())
        )

    def add_violation(self, rule, t, description, gateway="", event=0):
        """Add one violation; `event` is the request id, 0 if it concerns no single request."""
        self.violations.append(Violation(rule, t, description, gateway, event))

    # ---- rule 3: drains are kept
    def rule_3(self):
        """Check that a gateway sends no launch and no load order to a host that has not been ready for the grace period.

        The period starts when the gateway acknowledges the list update by which the host is no longer ready.
        """
        # states_known: (gateway, host) -> (when, state)
        grace_ms, states_known = self.terms["grace"], defaultdict(list)
        for (gateway, _), (t, rows, whole) in sorted(
            self.list_updates().items(), key=lambda item: item[1][0]
        ):
            for host, state in rows.items():
                states_known[gateway, host].append((t, state))
            if whole:
                # A host that a complete list leaves out is gone.
                for (other_gateway, host), states in states_known.items():
                    if other_gateway == gateway and host not in rows and states[-1][1] != "gone":
                        states.append((t, "gone"))
        for what in ("launch", "order"):
            for row in self.seen.of("host", what):
                if what == "order" and not row["number"]:
                    continue
                since = None
                for t, state in states_known.get((row["peer"], row["who"]), ()):
                    if t <= row["t"]:
                        since = None if state == "ready" else since if since is not None else t
                if (
                    since is not None
                    and row["t"] > since + grace_ms + SLACK_MS
                    and not self.sent_around_stop(row)
                ):
                    self.add_violation(
                        3,
                        row["t"],
                        f"{what} to {row['who']}, {row['t'] - since:.0f} ms after the list update",
                        row["peer"],
                        row["event"],
                    )

    def sent_around_stop(self, row):
        """Return whether the row's gateway was stopped then, or ran again less than `SLACK_MS` before.

        The message was then sent before the gateway was stopped, or in its first event loop tick after it continued.
        """
        return self.in_interval(self.stopped_intervals, row["peer"], row["t"], SLACK_MS)

    def list_updates(self):
        """Return the endpoint list's updates that gateways acknowledged.

        Returns:
            (gateway, revision) -> (when the gateway acknowledged it, state by host, whether the list was complete).
        """
        rows, whole = defaultdict(dict), {}
        for row in self.seen.of("list", "row"):
            rows[row["peer"], row["id"]][row["function"]] = row["fate"]
        for row in self.seen.of("list", "told"):
            whole[row["peer"], row["id"]] = row["fate"] == "whole"
        return {
            (r["peer"], r["id"]): (
                r["t"],
                rows[r["peer"], r["id"]],
                whole.get((r["peer"], r["id"]), False),
            )
            for r in self.seen.of("list", "heard")
        }

    # ---- rule 4: no cold host is overloaded
    def rule_4(self):
        """Check that the work sent to a host in slow start stays within what a host of that warm-up level can take.

        A host's level rises evenly from `from` to 1 over `time` ms, and the host is checked for that time or until it
        goes down. It fails when it gets more than `multiple` times its capacity at that level within `fall` ms.
        """
        cold = self.terms["cold"]
        if not cold["fall"] or not cold["multiple"]:
            return
        launches, downs = defaultdict(list), defaultdict(list)
        for row in self.seen.of("host", "launch"):
            launches[row["who"]].append(row)
        for row in self.seen.of("host", "host down"):
            downs[row["who"]].append(row["t"])
        for up in self.seen.of("host", "host up"):
            if not up["number"]:
                continue
            start, host, capacity = up["t"], up["who"], up["a"]
            end = min([t for t in downs[host] if t > start] + [start + cold["time"]])
            window, total, first = [], 0.0, 0
            for row in launches[host]:
                if not start <= row["t"] <= end:
                    continue
                window.append(row)
                total += row["b"]
                while window[first]["t"] < row["t"] - cold["fall"]:
                    total -= window[first]["b"]
                    first += 1
                level = min(
                    1.0, cold["from"] + (1 - cold["from"]) * (row["t"] - start) / cold["time"]
                )
                limit = cold["multiple"] * capacity * level * cold["fall"]
                # Two requests of the window's average work are tolerated as chance.
                if total > limit + 2 * total / (len(window) - first):
                    work_by_gateway = Counter()
                    for launch in window[first:]:
                        work_by_gateway[launch["peer"]] += launch["b"]
                    self.add_violation(
                        4,
                        row["t"],
                        f"{host} was sent {total:.0f} ms of work in {cold['fall']:.0f} ms; its limit "
                        f"is {limit:.0f} ms",
                        work_by_gateway.most_common(1)[0][0],
                        row["event"],
                    )
                    break

    # ---- rule 5: load orders stay within their quota
    def rule_5(self):
        """Check each gateway's load orders against its quota: `free` plus `share` of its requests, within `within` ms."""
        ration = self.terms["ration"]
        if not ration["within"]:
            return
        within_ms, orders, requests = ration["within"], defaultdict(list), defaultdict(list)
        for row in self.seen.of("host", "order"):
            if row["number"]:
                orders[row["peer"]].append(row["t"])
        for row in self.sent.values():
            requests[row["peer"]].append(row["t"])
        for gateway, times in orders.items():
            times.sort()
            request_times = np.sort(np.array(requests[gateway]))
            for i, t in enumerate(times):
                # Orders reach hosts later than requests leave clients. In the gateway's favour, the slack narrows the
                # window for orders and widens that for requests.
                order_count = sum(1 for u in times[: i + 1] if u > t - within_ms + SLACK_MS)
                request_count = np.searchsorted(request_times, t + SLACK_MS) - np.searchsorted(
                    request_times, t - within_ms - SLACK_MS
                )
                if order_count > ration["free"] + ration["share"] * request_count:
                    self.add_violation(
                        5,
                        t,
                        f"{order_count} load orders in {within_ms:.0f} ms with {request_count} requests",
                        gateway,
                    )

    # ---- the report
    def violation_entry(self, violation):
        """Return a violation as the report has it; `at` is in ms from the start of the run."""
        return {
            "rule": violation.rule,
            "at": round(violation.t - self.begun, 1),
            "what": violation.description,
            "gateway": violation.gateway,
            "event": violation.event,
        }

    def report(self):
        """Check all rules and return the whole report as plain values."""
        for rule in (
            self.rule_1,
            self.rule_2,
            self.rule_3,
            self.rule_4,
            self.rule_5,
            self.check_takeovers,
            self.check_drained_zones,
        ):
            rule()
        service, seconds = self.service_levels()
        seen, reasons = self.seen, Counter()
        answers = Counter(r["fate"] for r in seen.of("client", "answer"))
        for row in seen.of("client", "answer"):
            if row["fate"] != "handled":
                reasons[f"{row['fate']}: {row['text']}"] += 1
        # How late the load generator sent each first try, in ms.
        send_delays = np.array(
            [
                r["t"] - r["a"]
                for r in seen.of("client", "sent")
                if r["number"] == 0 and not r["text"]
            ]
        )
        outcomes, launches_by_second = Counter(), Counter()
        for row in seen.of("host", "outcome"):
            outcomes[row["fate"]] += 1
        for row in seen.of("host", "launch"):
            launches_by_second[int((row["t"] - self.begun) // 1000)] += 1
        for row in seen.of("client", "answer"):
            seconds[int((row["t"] - self.begun) // 1000), row["fate"]] += 1
        last = max((s for s, _ in seconds), default=0)
        timeline = {
            what: [seconds[s, what] for s in range(last + 1)]
            for what in ("due", "in time", "handled", "deferred", "dead-lettered")
        }
        timeline["launches"] = [launches_by_second[s] for s in range(last + 1)]
        troubles = [
            {"what": r["text"], "at": r["t"] - self.begun, "begins": r["fate"] == "begins"}
            for r in seen.of("conductor", "trouble")
        ]
        self.violations.sort(key=lambda violation: (violation.t, violation.rule))
        return {
            "day": self.terms["name"],
            "seed": self.terms["seed"],
            "decides": self.terms["decides"],
            "broken": [self.violation_entry(violation) for violation in self.violations],
            "crowded": [self.violation_entry(violation) for violation in self.starved_of_cpu],
            "excused": dict(self.excused),
            "service": service,
            "answers": dict(answers),
            "not_handled": dict(reasons.most_common(12)),
            "loads": len(seen.of("host", "load")),
            "orders": sum(1 for r in seen.of("host", "order") if r["number"]),
            "launches": sum(launches_by_second.values()),
            "effects": len(seen.of("host", "effect")),
            "outcomes": dict(outcomes),
            "fell": len(seen.of("host", "fell")),
            "lag_ms": {f"p{p:g}": float(np.percentile(send_delays, p)) for p in (50, 99, 99.9, 100)}
            if len(send_delays)
            else {},
            "releases": self.release_figures(),
            "store": {
                "fetches": len(seen.of("store", "fetch")),
                "refused": len(seen.of("store", "fetch refused")),
                "most at once": int(max((r["a"] for r in seen.of("store", "fetch")), default=0.0)),
            },
            "doors": self.admission_figures(),
            "during": {
                kind: figures
                for kind in sorted({t["what"] for t in troubles})
                if (figures := self.figures_during(kind))
            },
            "taken over": self.takeover_figures(),
            "line": timeline,
            "troubles": troubles,
            "warm": self.warm,
        }


def audit(folder):
    """Return the report on a run's folder as plain values.

    Raises:
        UnreadableTrafficError: The folder holds no traffic that can be judged.
    """
    return Audit(folder).report()
