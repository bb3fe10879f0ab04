"""Judges the five rules from what passed at the far ends, and measures how well the clients were served.

Reads the Parquet files of a run and nothing else; imports nothing of the gateway or the module. Times are ms on the
machine's monotonic clock. `SLACK` is granted wherever two ends are compared: the way between them and their loops.
"""

import json
from collections import Counter, defaultdict
from pathlib import Path

import numpy as np
import pyarrow as pa
import pyarrow.parquet as pq
from hdrh.histogram import HdrHistogram

SLACK = 150.0
WINDOW = 10000.0            # of the worst ten seconds
NEVER_RAN = ("full", "missing")


class Unreadable(ValueError):
    """The folder holds no traffic that could be judged."""


class Seen:
    """Rows by end and kind, each a dict, in order of time."""

    def __init__(self, folder):
        files = sorted(Path(folder).glob("*.parquet"))
        if not files:
            raise Unreadable(f"no Parquet files in {folder}")
        tables = [pq.read_table(f).cast(plain(pq.read_schema(f))) for f in files]
        table = pa.concat_tables(tables).sort_by("t")
        self.kinds = {}
        for key in set(zip(table["end"].to_pylist(), table["what"].to_pylist(), strict=True)):
            mask = pa.compute.and_(pa.compute.equal(table["end"], key[0]), pa.compute.equal(table["what"], key[1]))
            self.kinds[key] = table.filter(mask).to_pylist()

    def of(self, end, what):
        return self.kinds.get((end, what), [])


def plain(schema):
    return pa.schema([(f.name, pa.string() if pa.types.is_dictionary(f.type) else f.type) for f in schema])


class Break:
    """One rule broken: which, when, and by what."""

    def __init__(self, rule, t, what, gateway="", event=0):
        self.rule, self.t, self.what, self.gateway, self.event = rule, t, what, gateway, event


class Audit:
    def __init__(self, folder):
        self.seen = seen = Seen(Path(folder) / "traffic" if (Path(folder) / "traffic").exists() else folder)
        said = seen.of("conductor", "terms")
        begun = seen.of("conductor", "begun")
        if not said or not begun:
            raise Unreadable("no terms or no beginning among the conductor's rows")
        self.terms, self.begun = json.loads(said[0]["text"]), begun[0]["t"]
        self.warm = begun[0]["a"]
        self.breaks, self.excused = [], Counter()
        self.sent = {row["id"]: row for row in seen.of("client", "sent")}
        self.ends = defaultdict(list)           # event -> what the client saw of its end, in order
        for what in ("answer", "gave up", "withdrew", "cut", "started"):
            for row in seen.of("client", what):
                self.ends[row["event"]].append(row)
        for rows in self.ends.values():
            rows.sort(key=lambda r: r["t"])
        self.launches = defaultdict(list)       # event -> launches as hosts had them
        for row in seen.of("host", "launch"):
            self.launches[row["event"]].append(row)
        self.outcomes = {key(r): r for r in seen.of("host", "outcome")}
        self.down = self.spans("gateway killed", "gateway up")
        self.stopped = self.spans("gateway stopped", "gateway continued")

    def spans(self, begins, ends):
        """Gateway -> spans of time in which it was not running."""
        found = defaultdict(list)
        for row in self.seen.of("conductor", begins):
            end = min((r["t"] for r in self.seen.of("conductor", ends)
                       if r["who"] == row["who"] and r["t"] >= row["t"]), default=float("inf"))
            found[row["who"]].append((row["t"], end))
        return found

    def within(self, spans, gateway, t, after=0.0):
        return any(a - SLACK <= t <= b + after for a, b in spans.get(gateway, ()))

    def broke(self, rule, t, what, gateway="", event=0):
        self.breaks.append(Break(rule, t, what, gateway, event))

    # ---- rule 1: one final answer in time, then nothing more
    def rule_1(self):
        for number, sent in self.sent.items():
            gateway, until = sent["peer"], sent["t"] + sent["b"]
            rows = self.ends.get(number, [])
            answers = [r for r in rows if r["what"] == "answer"]
            others = [r for r in rows if r["what"] not in ("answer", "started")]
            streams = any(r["what"] == "started" for r in rows)
            for extra in answers[1:]:
                self.broke(1, extra["t"], "a second final answer", gateway, number)
            if not answers:
                self.unanswered(number, gateway, until, others)
            elif answers[0]["t"] > until and not streams:
                self.late(number, gateway, answers[0]["t"], until)
            over = min([r["t"] for r in answers + others], default=None)
            for launch in self.launches.get(number, ()):
                if over is not None and launch["t"] > over + SLACK and launch["peer"] == gateway:
                    if self.within(self.stopped, gateway, over, SLACK):
                        self.excused["launched as its gateway woke"] += 1
                    else:
                        self.broke(1, launch["t"], "a launch after the final answer", gateway, number)
        for number, rows in self.ends.items():
            if number not in self.sent:
                self.broke(1, rows[0]["t"], "an answer to what was never sent", rows[0]["peer"], number)

    def unanswered(self, number, gateway, until, others):
        end = others[0] if others else None
        if end and end["what"] == "withdrew":
            self.excused["withdrawn by the client"] += 1
        elif end and end["what"] == "cut":
            if self.within(self.down, gateway, end["t"], SLACK):
                self.excused["held by a gateway that was killed"] += 1
            else:
                self.broke(1, end["t"], "a connection closed on an event not answered", gateway, number)
        elif self.within(self.stopped, gateway, until, SLACK):
            self.excused["due while its gateway stood still"] += 1
        elif self.within(self.down, gateway, until, SLACK):
            self.excused["held by a gateway that was killed"] += 1
        else:
            self.broke(1, until, "no final answer", gateway, number)

    def late(self, number, gateway, t, until):
        if self.within(self.stopped, gateway, until, SLACK):
            self.excused["answered late as its gateway stood still"] += 1
        else:
            self.broke(1, t, f"a final answer {t - until:.1f} ms late", gateway, number)

    # ---- rule 2: no effect twice, no two launches at once
    def rule_2(self):
        effects, kinds = defaultdict(list), self.terms["events"]
        for row in self.seen.of("host", "effect"):
            effects[row["clause"], row["mark"]].append(row)
        for (clause, mark), rows in effects.items():
            if kinds[clause]["kind"] != "redeliverable" and len(rows) > 1:
                self.broke(2, rows[1]["t"], f"an effect twice ({kinds[clause]['kind']}, {mark})", rows[1]["peer"],
                           rows[1]["event"])
        ends = self.launch_ends()
        for number, launches in self.launches.items():
            launches.sort(key=lambda r: r["t"])
            kind = kinds[launches[0]["clause"]]
            for before, after in zip(launches, launches[1:], strict=False):
                both = min(ends[key(before)], ends[key(after)]) - after["t"]    # 0 where one came dead on arrival
                if not self.terms["twice"] and both > SLACK:
                    self.broke(2, after["t"], "two launches out at once", after["peer"], number)
                if kind["kind"] == "at-most-once" and not self.never_ran(before):
                    self.broke(2, after["t"], "a further launch of what may have run", after["peer"], number)
                if kind["kind"] == "keyed" and not self.never_ran(before) and (
                        after["t"] - before["t"] > kind["memory"] + SLACK):
                    self.broke(2, after["t"], "a further launch past what hosts remember", after["peer"], number)
            answer = next((r for r in self.ends.get(number, ()) if r["what"] == "answer"), None)
            ran = [r for r in launches if not self.never_ran(r)]
            harmless = kind["kind"] == "redeliverable" or kind["kind"] == "keyed" and kind["group"] == "all"
            if answer and answer["fate"] == "deferred" and ran and not harmless:
                self.broke(2, answer["t"], "a deferral of what may have run", answer["peer"], number)

    def never_ran(self, launch):
        outcome = self.outcomes.get(key(launch))
        return outcome is not None and outcome["fate"] in NEVER_RAN

    def launch_ends(self):
        """When each launch ended as its host saw it: answered, recalled, cut, or past its limit."""
        found = {}
        recalls = defaultdict(list)     # of what has run to its end the host knows the id alone
        for row in self.seen.of("host", "recall"):
            recalls[row["who"], row["peer"], row["id"]].append(row["t"])
        lost = {key(r): r["t"] for r in self.seen.of("host", "answer lost")}        # it ran, and nobody was told
        cuts = {key(r): r["t"] for r in self.seen.of("host", "cut")}
        downs = defaultdict(list)
        for row in self.seen.of("host", "host down"):
            downs[row["who"]].append(row["t"])
        for launches in self.launches.values():
            for row in launches:
                k = key(row)
                times = [row["t"] + row["a"], cuts.get(k, 1e18), lost.get(k, 1e18)]
                times += [t for t in recalls.get(k[:3], ()) if t >= row["t"]]
                if k in self.outcomes:
                    times.append(self.outcomes[k]["t"])
                times += [t for t in downs[row["who"]] if t >= row["t"]]
                found[k] = min(times)
        return found

    # ---- rule 3: drains are kept
    def rule_3(self):
        grace, told = self.terms["grace"], defaultdict(list)    # (gateway, host) -> (when, state)
        for (gateway, _), (t, rows, whole) in sorted(self.news().items(), key=lambda item: item[1][0]):
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
                    self.broke(3, row["t"], f"{what} to {row['who']}, {row['t'] - since:.0f} ms after the news",
                               row["peer"], row["event"])

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
        return {(r["peer"], r["id"]): (r["t"], rows[r["peer"], r["id"]], whole.get((r["peer"], r["id"]), False))
                for r in self.seen.of("list", "heard")}

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
                level = min(1.0, cold["from"] + (1 - cold["from"]) * (row["t"] - start) / cold["time"])
                most = cold["multiple"] * can * level * cold["fall"]
                if total > most + 2 * total / (len(window) - first):     # two events are left to chance
                    share = Counter()
                    for one in window[first:]:
                        share[one["peer"]] += one["b"]
                    self.broke(4, row["t"], f"{host} was sent {total:.0f} ms of work in {cold['fall']:.0f} ms, where "
                               f"{most:.0f} is the most", share.most_common(1)[0][0], row["event"])
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
                before = sum(1 for u in times[:i + 1] if u > t - within + SLACK)
                least = np.searchsorted(events, t + SLACK) - np.searchsorted(events, t - within - SLACK)
                if before > ration["free"] + ration["share"] * least:
                    self.broke(5, t, f"{before} orders in {within:.0f} ms with {least} events", gateway)

    # ---- how well the clients were served
    def service(self):
        kinds, firsts = self.terms["events"], {}
        for what in ("sent", "unreachable"):
            for row in self.seen.of("client", what):
                if row["text"] != "extra":
                    one = firsts.setdefault(int(row["c"]), {"row": row, "tries": []})
                    one["tries"].append(row["id"] if what == "sent" else None)
        histograms = {name: HdrHistogram(1, 60_000_000, 3) for name in kinds}
        times, in_time, party, seconds = [], [], [], Counter()
        for one in firsts.values():
            row = one["row"]
            if row["a"] < self.begun + self.warm:
                continue
            handled = [r["t"] for number in one["tries"] if number is not None
                       for r in self.ends.get(number, ()) if r["what"] == "answer" and r["fate"] == "handled"]
            took = min(handled) - row["a"] if handled else None
            if took is not None:
                histograms[row["clause"]].record_value(max(1, int(took * 1000)))
            times.append(row["a"])
            in_time.append(took is not None and took <= kinds[row["clause"]]["target"])
            party.append(row["party"])
        due, good = np.array(times), np.array(in_time, float)
        served: dict = {"share": float(good.mean()) if len(good) else 0.0, "events": len(good)}
        if len(due):
            order = np.argsort(due)
            total, count = np.cumsum(good[order]), np.arange(1, len(due) + 1)
            ordered, worst, at = due[order], 1.0, 0.0
            for start in np.arange(ordered[0], max(ordered[0], ordered[-1] - WINDOW) + 1, 1000.0):
                i, j = np.searchsorted(ordered, [start, start + WINDOW])
                if j - i >= 10:
                    share = (total[j - 1] - (total[i - 1] if i else 0)) / (count[j - 1] - (count[i - 1] if i else 0))
                    if share < worst:
                        worst, at = float(share), float(start - self.begun)
            served |= {"worst_ten_seconds": worst, "worst_at": at}
            names = sorted(set(party))
            shares = {n: float(good[np.array(party) == n].mean()) for n in names}
            served |= {"parties": shares, "worst_party": min(names, key=lambda n: shares[n])}
            for second, is_good in zip(((due - self.begun) // 1000).astype(int).tolist(), good, strict=True):
                seconds[second, "due"] += 1
                seconds[second, "in time"] += int(is_good)
        served["ms"] = {name: {f"p{p:g}": h.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 99.9)}
                        | {"count": h.get_total_count()} for name, h in histograms.items()}
        return served, seconds

    def doors(self):
        """How known clients came in, and what the flood got; {} on days without either.

        A connect to a gateway that was down, stopped, or about to be, is nobody's refusal."""
        seen, found = self.seen, {}
        for name, good, bad in (("connects", seen.of("client", "connected"), seen.of("client", "connect failed")),
                                ("came back", seen.of("crowd", "came back"), [])):
            rows = [(r, True) for r in good if r["fate"] != "refused"]
            rows += [(r, False) for r in [*bad, *good] if r["what"] == "connect failed" or r["fate"] == "refused"]
            rows = [(r, ok) for r, ok in rows if ok or not self.away(r)]
            if rows:
                took = [r["a"] for r, ok in rows if ok] or [0.0]
                found[name] = {"tried": len(rows), "let in": sum(ok for _, ok in rows),
                               "p50": float(np.percentile(took, 50)), "p99": float(np.percentile(took, 99)),
                               "why not": dict(Counter(r["text"] for r, ok in rows if not ok).most_common(5))}
        if floods := seen.of("crowd", "flood"):
            found["flood"] = {"opened": sum(r["number"] for r in floods), "told": int(sum(r["a"] for r in floods)),
                              "open at most": int(max(r["b"] for r in floods))}
        return found

    def away(self, row):
        """Whether its gateway was down or stopped at any time while it tried."""
        closing = [r["t"] for r in self.seen.of("conductor", "closing")]
        return bool(closing) and row["t"] >= closing[0] or any(
            begin - 100 <= row["t"] and row["t"] - row["a"] <= end + 300
            for spans in (self.down, self.stopped) for begin, end in spans.get(row["peer"], ()))

    def during(self, kind):
        """(share within target, p99 in ms, events) of what was due while that trouble lasted; None without it."""
        times = [r["t"] for r in self.seen.of("conductor", "trouble") if r["text"] == kind]
        spans = list(zip(times[::2], times[1::2], strict=False))
        if not spans:
            return None
        took, good = [], 0
        for row in self.seen.of("client", "sent"):
            if row["number"] or row["text"] == "extra" or not any(a <= row["a"] <= b for a, b in spans):
                continue
            # first tries: a repeat's answer would belong to another launch
            handled = [r["t"] - row["a"] for r in self.ends.get(row["event"], ())
                       if r["what"] == "answer" and r["fate"] == "handled"]
            took.append(handled[0] if handled else float("inf"))
            good += bool(handled) and handled[0] <= self.terms["events"][row["clause"]]["target"]
        found = sorted(x for x in took if x < float("inf"))
        return {"events": len(took), "share": good / max(1, len(took)),
                "p99": found[int(len(found) * 0.99)] if found else 0.0}

    def releases(self):
        """Version -> launches, errors and, in s of the run, from when until when it was launched, over all gateways;
        those with most errors first, twenty at most."""
        found = {}
        for launches in self.launches.values():
            for row in launches:
                if "@" not in row["function"]:
                    continue
                one = found.setdefault(row["function"], {"launches": 0, "errors": 0, "from": 1e18, "until": 0.0})
                outcome, at = self.outcomes.get(key(row)), (row["t"] - self.begun) / 1000
                one["launches"] += 1
                one["errors"] += outcome is not None and outcome["fate"] == "error"
                one["from"], one["until"] = min(one["from"], round(at, 1)), max(one["until"], round(at, 1))
        ranked = sorted(found.items(), key=lambda item: (-item[1]["errors"], -item[1]["launches"], item[0]))
        return dict(ranked[:20])

    def report(self):
        for rule in (self.rule_1, self.rule_2, self.rule_3, self.rule_4, self.rule_5):
            rule()
        served, seconds = self.service()
        seen, reasons = self.seen, Counter()
        answers = Counter(r["fate"] for r in seen.of("client", "answer"))
        for row in seen.of("client", "answer"):
            if row["fate"] != "handled":
                reasons[f"{row['fate']}: {row['text']}"] += 1
        lag = np.array([r["t"] - r["a"] for r in seen.of("client", "sent") if r["number"] == 0 and not r["text"]])
        hosts, launches = Counter(), Counter()
        for row in seen.of("host", "outcome"):
            hosts[row["fate"]] += 1
        for row in seen.of("host", "launch"):
            launches[int((row["t"] - self.begun) // 1000)] += 1
        for row in seen.of("client", "answer"):
            seconds[int((row["t"] - self.begun) // 1000), row["fate"]] += 1
        last = max((s for s, _ in seconds), default=0)
        line = {what: [seconds[s, what] for s in range(last + 1)]
                for what in ("due", "in time", "handled", "deferred", "dead-lettered")}
        line["launches"] = [launches[s] for s in range(last + 1)]
        troubles = [{"what": r["text"], "at": r["t"] - self.begun, "begins": r["fate"] == "begins"}
                    for r in seen.of("conductor", "trouble")]
        self.breaks.sort(key=lambda b: (b.t, b.rule))
        return {
            "day": self.terms["name"], "seed": self.terms["seed"], "decides": self.terms["decides"],
            "broken": [{"rule": b.rule, "at": round(b.t - self.begun, 1), "what": b.what, "gateway": b.gateway,
                        "event": b.event} for b in self.breaks],
            "excused": dict(self.excused), "service": served, "answers": dict(answers),
            "not_handled": dict(reasons.most_common(12)),
            "loads": len(seen.of("host", "load")), "orders": sum(1 for r in seen.of("host", "order") if r["number"]),
            "launches": sum(launches.values()), "effects": len(seen.of("host", "effect")), "outcomes": dict(hosts),
            "fell": len(seen.of("host", "fell")),
            "lag_ms": {f"p{p:g}": float(np.percentile(lag, p)) for p in (50, 99, 99.9, 100)} if len(lag) else {},
            "releases": self.releases(), "store": {
                "fetches": len(seen.of("store", "fetch")), "refused": len(seen.of("store", "fetch refused")),
                "most at once": int(max((r["a"] for r in seen.of("store", "fetch")), default=0.0))},
            "doors": self.doors(), "during": {kind: one for kind in sorted({t["what"] for t in troubles})
                                             if (one := self.during(kind))},
            "line": line, "troubles": troubles, "warm": self.warm}


def key(row):
    """A launch by host, gateway, the id on its connection and the event: a gateway that restarts counts anew."""
    return row["who"], row["peer"], row["id"], row["event"]


def audit(folder):
    """The whole judgement of a run's folder, as plain values; Unreadable where there is nothing to judge."""
    return Audit(folder).report()
