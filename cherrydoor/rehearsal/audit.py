"""Judges the five rules from what passed at the far ends, and measures how well the clients were served.

Reads the Parquet files of a run and nothing else; imports nothing of the gateway or the module. Times are ms on the
machine's monotonic clock. `SLACK` is granted wherever two ends are compared: the way between them and their loops.
"""

import json
from collections import Counter, defaultdict
from pathlib import Path

import numpy as np

from cherrydoor.rehearsal.answers import AnswerAudit
from cherrydoor.rehearsal.effects import EffectAudit
from cherrydoor.rehearsal.seen import SLACK, Seen, Violation, key
from cherrydoor.rehearsal.seen import Unreadable as Unreadable
from cherrydoor.rehearsal.service import ServiceLevels
from cherrydoor.rehearsal.takeover_audit import TakeoverAudit


class Audit(AnswerAudit, EffectAudit, TakeoverAudit, ServiceLevels):
    def __init__(self, folder):
        self.seen = seen = Seen(
            Path(folder) / "traffic" if (Path(folder) / "traffic").exists() else folder
        )
        said = seen.of("conductor", "terms")
        begun = seen.of("conductor", "begun")
        if not said or not begun:
            raise Unreadable("no terms or no beginning among the conductor's rows")
        self.terms, self.begun = json.loads(said[0]["text"]), begun[0]["t"]
        self.warm = begun[0]["a"]
        self.violations, self.excused, self.starved_of_cpu = [], Counter(), []
        self.sent = {row["id"]: row for row in seen.of("client", "sent")}
        self.ends = defaultdict(list)  # event -> what the client saw of its end, in order
        for what in ("answer", "gave up", "withdrew", "cut", "started", "not known"):
            for row in seen.of("client", what):
                self.ends[row["event"]].append(row)
        for rows in self.ends.values():
            rows.sort(key=lambda r: r["t"])
        self.launches = defaultdict(list)  # event -> launches as hosts had them
        for row in seen.of("host", "launch"):
            self.launches[row["event"]].append(row)
        self.outcomes = {key(r): r for r in seen.of("host", "outcome")}
        self.down = self.spans("gateway killed", "gateway up")
        self.stopped = self.spans("gateway stopped", "gateway continued")
        self.cut_off = self.spans("gateway cut off", "gateway reached")
        self.waits = defaultdict(
            list
        )  # part -> (when, ms without a core); "" where all stood still
        for what, name in (("waited", None), ("paused", "")):
            for row in seen.of("conductor", what):
                self.waits[row["who"] if name is None else name].append((row["t"], row["a"]))

    def spans(self, begins, ends):
        """Gateway -> spans of time in which it was not running."""
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

    def within(self, spans, gateway, t, after=0.0):
        return any(a - SLACK <= t <= b + after for a, b in spans.get(gateway, ()))

    def add_violation(self, rule, t, what, gateway="", event=0):
        self.violations.append(Violation(rule, t, what, gateway, event))

    # ---- rule 3: drains are kept
    def rule_3(self):
        grace, told = self.terms["grace"], defaultdict(list)  # (gateway, host) -> (when, state)
        for (gateway, _), (t, rows, whole) in sorted(
            self.news().items(), key=lambda item: item[1][0]
        ):
            for host, state in rows.items():
                told[gateway, host].append((t, state))
            if whole:
                for (g, host), states in told.items():
                    if g == gateway and host not in rows and states[-1][1] != "gone":
                        states.append((t, "gone"))
        for what in ("launch", "order"):
            for row in self.seen.of("host", what):
                if what == "order" and not row["number"]:
                    continue
                since = None
                for t, state in told.get((row["peer"], row["who"]), ()):
                    if t <= row["t"]:
                        since = None if state == "ready" else since if since is not None else t
                if since is not None and row["t"] > since + grace + SLACK and not self.woke(row):
                    self.add_violation(
                        3,
                        row["t"],
                        f"{what} to {row['who']}, {row['t'] - since:.0f} ms after the news",
                        row["peer"],
                        row["event"],
                    )

    def woke(self, row):
        """Sent before its gateway was stopped, or written in the turn in which it woke."""
        return self.within(self.stopped, row["peer"], row["t"], SLACK)

    def news(self):
        """(gateway, revision) -> (when the gateway had it, host -> state, whether the list was whole)."""
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

    # ---- rule 4: no cold host pushed over
    def rule_4(self):
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
            start, host, can = up["t"], up["who"], up["a"]
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
                most = cold["multiple"] * can * level * cold["fall"]
                if total > most + 2 * total / (
                    len(window) - first
                ):  # two events are left to chance
                    share = Counter()
                    for one in window[first:]:
                        share[one["peer"]] += one["b"]
                    self.add_violation(
                        4,
                        row["t"],
                        f"{host} was sent {total:.0f} ms of work in {cold['fall']:.0f} ms, where "
                        f"{most:.0f} is the most",
                        share.most_common(1)[0][0],
                        row["event"],
                    )
                    break

    # ---- rule 5: orders to load are rationed
    def rule_5(self):
        ration = self.terms["ration"]
        if not ration["within"]:
            return
        within, orders, taken = ration["within"], defaultdict(list), defaultdict(list)
        for row in self.seen.of("host", "order"):
            if row["number"]:
                orders[row["peer"]].append(row["t"])
        for row in self.sent.values():
            taken[row["peer"]].append(row["t"])
        for gateway, times in orders.items():
            times.sort()
            events = np.sort(np.array(taken[gateway]))
            for i, t in enumerate(times):
                before = sum(1 for u in times[: i + 1] if u > t - within + SLACK)
                least = np.searchsorted(events, t + SLACK) - np.searchsorted(
                    events, t - within - SLACK
                )
                if before > ration["free"] + ration["share"] * least:
                    self.add_violation(
                        5, t, f"{before} orders in {within:.0f} ms with {least} events", gateway
                    )

    # ---- all of it
    def shown(self, one):
        return {
            "rule": one.rule,
            "at": round(one.t - self.begun, 1),
            "what": one.what,
            "gateway": one.gateway,
            "event": one.event,
        }

    def report(self):
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
        served, seconds = self.service_levels()
        seen, reasons = self.seen, Counter()
        answers = Counter(r["fate"] for r in seen.of("client", "answer"))
        for row in seen.of("client", "answer"):
            if row["fate"] != "handled":
                reasons[f"{row['fate']}: {row['text']}"] += 1
        lag = np.array(
            [
                r["t"] - r["a"]
                for r in seen.of("client", "sent")
                if r["number"] == 0 and not r["text"]
            ]
        )
        hosts, launches = Counter(), Counter()
        for row in seen.of("host", "outcome"):
            hosts[row["fate"]] += 1
        for row in seen.of("host", "launch"):
            launches[int((row["t"] - self.begun) // 1000)] += 1
        for row in seen.of("client", "answer"):
            seconds[int((row["t"] - self.begun) // 1000), row["fate"]] += 1
        last = max((s for s, _ in seconds), default=0)
        line = {
            what: [seconds[s, what] for s in range(last + 1)]
            for what in ("due", "in time", "handled", "deferred", "dead-lettered")
        }
        line["launches"] = [launches[s] for s in range(last + 1)]
        troubles = [
            {"what": r["text"], "at": r["t"] - self.begun, "begins": r["fate"] == "begins"}
            for r in seen.of("conductor", "trouble")
        ]
        self.violations.sort(key=lambda b: (b.t, b.rule))
        return {
            "day": self.terms["name"],
            "seed": self.terms["seed"],
            "decides": self.terms["decides"],
            "broken": [self.shown(b) for b in self.violations],
            "crowded": [self.shown(b) for b in self.starved_of_cpu],
            "excused": dict(self.excused),
            "service": served,
            "answers": dict(answers),
            "not_handled": dict(reasons.most_common(12)),
            "loads": len(seen.of("host", "load")),
            "orders": sum(1 for r in seen.of("host", "order") if r["number"]),
            "launches": sum(launches.values()),
            "effects": len(seen.of("host", "effect")),
            "outcomes": dict(hosts),
            "fell": len(seen.of("host", "fell")),
            "lag_ms": {f"p{p:g}": float(np.percentile(lag, p)) for p in (50, 99, 99.9, 100)}
            if len(lag)
            else {},
            "releases": self.release_figures(),
            "store": {
                "fetches": len(seen.of("store", "fetch")),
                "refused": len(seen.of("store", "fetch refused")),
                "most at once": int(max((r["a"] for r in seen.of("store", "fetch")), default=0.0)),
            },
            "doors": self.admission_figures(),
            "during": {
                kind: one
                for kind in sorted({t["what"] for t in troubles})
                if (one := self.figures_during(kind))
            },
            "taken over": self.takeover_figures(),
            "line": line,
            "troubles": troubles,
            "warm": self.warm,
        }


def audit(folder):
    """The whole judgement of a run's folder, as plain values; Unreadable where there is nothing to judge."""
    return Audit(folder).report()
