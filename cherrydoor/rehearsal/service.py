"""How well the clients of a run were served, from what they noted themselves."""

from collections import Counter
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from cherrydoor.rehearsal.seen import key

WINDOW = 10000.0  # of the worst ten seconds


class ServiceLevels:
    """Figures of service; what was seen is the audit's."""

    seen: Any
    terms: dict
    ends: Any
    begun: float
    warm: float
    launches: Any
    outcomes: dict
    down: Any
    stopped: Any

    def service_levels(self):
        kinds, firsts = self.terms["events"], {}
        for what in ("sent", "unreachable"):
            for row in self.seen.of("client", what):
                if row["text"] != "extra":
                    one = firsts.setdefault(int(row["c"]), {"row": row, "tries": []})
                    one["tries"].append(row["id"] if what == "sent" else None)
        histograms = {name: HdrHistogram(1, 60_000_000, 3) for name in kinds}
        times, in_time, party, seconds, worth = (
            [],
            [],
            [],
            Counter(),
            {name: [0, 0] for name in kinds},
        )
        for one in firsts.values():
            row = one["row"]
            if row["a"] < self.begun + self.warm:
                continue
            handled = [
                r["t"]
                for number in one["tries"]
                if number is not None
                for r in self.ends.get(number, ())
                if r["what"] == "answer" and r["fate"] == "handled"
            ]
            took = min(handled) - row["a"] if handled else None
            if took is not None:
                histograms[row["clause"]].record_value(max(1, int(took * 1000)))
            times.append(row["a"])
            in_time.append(took is not None and took <= kinds[row["clause"]]["target"])
            party.append(row["party"])
            worth[row["clause"]][0] += 1
            worth[row["clause"]][1] += not in_time[-1]
        due, good = np.array(times), np.array(in_time, float)
        served: dict = {"share": float(good.mean()) if len(good) else 0.0, "events": len(good)}
        served["benefit"] = {
            "due": sum(count * kinds[name]["benefit"] for name, (count, _) in worth.items()),
            "lost": sum(late * kinds[name]["benefit"] for name, (_, late) in worth.items()),
            "lost of": {name: late / count for name, (count, late) in worth.items() if count},
        }
        if len(due):
            order = np.argsort(due)
            total, count = np.cumsum(good[order]), np.arange(1, len(due) + 1)
            ordered, worst, at = due[order], 1.0, 0.0
            for start in np.arange(ordered[0], max(ordered[0], ordered[-1] - WINDOW) + 1, 1000.0):
                i, j = np.searchsorted(ordered, [start, start + WINDOW])
                if j - i >= 10:
                    share = (total[j - 1] - (total[i - 1] if i else 0)) / (
                        count[j - 1] - (count[i - 1] if i else 0)
                    )
                    if share < worst:
                        worst, at = float(share), float(start - self.begun)
            served |= {"worst_ten_seconds": worst, "worst_at": at}
            names = sorted(set(party))
            shares = {n: float(good[np.array(party) == n].mean()) for n in names}
            served |= {"parties": shares, "worst_party": min(names, key=lambda n: shares[n])}
            for second, is_good in zip(
                ((due - self.begun) // 1000).astype(int).tolist(), good, strict=True
            ):
                seconds[second, "due"] += 1
                seconds[second, "in time"] += int(is_good)
        served["ms"] = {
            name: {f"p{p:g}": h.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 99.9)}
            | {"count": h.get_total_count()}
            for name, h in histograms.items()
        }
        return served, seconds

    def admission_figures(self):
        """How known clients came in, and what the flood got; {} on days without either.

        A connect to a gateway that was down, stopped, or about to be, is nobody's refusal."""
        seen, found = self.seen, {}
        for name, good, bad in (
            ("connects", seen.of("client", "connected"), seen.of("client", "connect failed")),
            ("came back", seen.of("crowd", "came back"), []),
        ):
            rows = [(r, True) for r in good if r["fate"] != "refused"]
            rows += [
                (r, False)
                for r in [*bad, *good]
                if r["what"] == "connect failed" or r["fate"] == "refused"
            ]
            rows = [(r, ok) for r, ok in rows if ok or not self.away(r)]
            if rows:
                took = [r["a"] for r, ok in rows if ok] or [0.0]
                found[name] = {
                    "tried": len(rows),
                    "let in": sum(ok for _, ok in rows),
                    "p50": float(np.percentile(took, 50)),
                    "p99": float(np.percentile(took, 99)),
                    "why not": dict(Counter(r["text"] for r, ok in rows if not ok).most_common(5)),
                }
        if floods := seen.of("crowd", "flood"):
            found["flood"] = {
                "opened": sum(r["number"] for r in floods),
                "told": int(sum(r["a"] for r in floods)),
                "open at most": int(max(r["b"] for r in floods)),
            }
        return found

    def away(self, row):
        """Whether its gateway was down or stopped at any time while it tried."""
        closing = [r["t"] for r in self.seen.of("conductor", "closing")]
        return (
            bool(closing)
            and row["t"] >= closing[0]
            or any(
                begin - 100 <= row["t"] and row["t"] - row["a"] <= end + 300
                for spans in (self.down, self.stopped)
                for begin, end in spans.get(row["peer"], ())
            )
        )

    def figures_during(self, kind):
        """(share within target, p99 in ms, events) of what was due while that trouble lasted; None without it."""
        times = [r["t"] for r in self.seen.of("conductor", "trouble") if r["text"] == kind]
        spans = list(zip(times[::2], times[1::2], strict=False))
        if not spans:
            return None
        took, good = [], 0
        for row in self.seen.of("client", "sent"):
            if (
                row["number"]
                or row["text"] == "extra"
                or not any(a <= row["a"] <= b for a, b in spans)
            ):
                continue
            # first tries: a repeat's answer would belong to another launch
            handled = [
                r["t"] - row["a"]
                for r in self.ends.get(row["event"], ())
                if r["what"] == "answer" and r["fate"] == "handled"
            ]
            took.append(handled[0] if handled else float("inf"))
            good += bool(handled) and handled[0] <= self.terms["events"][row["clause"]]["target"]
        found = sorted(x for x in took if x < float("inf"))
        return {
            "events": len(took),
            "share": good / max(1, len(took)),
            "p99": found[int(len(found) * 0.99)] if found else 0.0,
        }

    def release_figures(self):
        """Version -> launches, errors and, in s of the run, from when until when it was launched, over all gateways;
        those with most errors first, twenty at most."""
        found = {}
        for launches in self.launches.values():
            for row in launches:
                if "@" not in row["function"]:
                    continue
                one = found.setdefault(
                    row["function"], {"launches": 0, "errors": 0, "from": 1e18, "until": 0.0}
                )
                outcome, at = self.outcomes.get(key(row)), (row["t"] - self.begun) / 1000
                one["launches"] += 1
                one["errors"] += outcome is not None and outcome["fate"] == "error"
                one["from"], one["until"] = (
                    min(one["from"], round(at, 1)),
                    max(one["until"], round(at, 1)),
                )
        ranked = sorted(
            found.items(), key=lambda item: (-item[1]["errors"], -item[1]["launches"], item[0])
        )
        return dict(ranked[:20])
