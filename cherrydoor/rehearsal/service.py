"""Measures how well the clients of a run were served, from the rows that they recorded."""

from collections import Counter
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from cherrydoor.rehearsal.seen import launch_key

# Length of the window in which the share within target is lowest (`worst_ten_seconds`).
WORST_WINDOW_MS = 10000.0


class ServiceLevels:
    """Computes the figures of service; `Audit` sets the attributes."""

    seen: Any
    terms: dict
    client_results: Any
    begun: float
    warm: float
    launches: Any
    outcomes: dict
    killed_intervals: Any
    stopped_intervals: Any

    def service_levels(self):
        """Compute the share of requests answered within target, latencies, and benefit lost.

        Requests that were due before the warm-up ended don't count. A request counts once, whatever its repeats; time
        runs from when it was due to its first handled answer.

        Returns:
            The figures for the report, and a counter of requests due and in time by (second of the run, name).
        """
        # firsts: index of the request among the day's arrivals -> its first row, and the ids of all its tries
        classes, firsts = self.terms["events"], {}
        for what in ("sent", "unreachable"):
            for row in self.seen.of("client", what):
                if row["text"] != "extra":
                    first = firsts.setdefault(int(row["c"]), {"row": row, "tries": []})
                    first["tries"].append(row["id"] if what == "sent" else None)
        # in µs, up to 60 s
        histograms = {name: HdrHistogram(1, 60_000_000, 3) for name in classes}
        due_times, in_time, parties, seconds, due_and_lost = (
            [],
            [],
            [],
            Counter(),
            {name: [0, 0] for name in classes},  # requests due, and those not answered in time
        )
        for first in firsts.values():
            row = first["row"]
            if row["a"] < self.begun + self.warm:
                continue
            handled = [
                r["t"]
                for request_id in first["tries"]
                if request_id is not None
                for r in self.client_results.get(request_id, ())
                if r["what"] == "answer" and r["fate"] == "handled"
            ]
            took_ms = min(handled) - row["a"] if handled else None
            if took_ms is not None:
                histograms[row["clause"]].record_value(max(1, int(took_ms * 1000)))
            due_times.append(row["a"])
            in_time.append(took_ms is not None and took_ms <= classes[row["clause"]]["target"])
            parties.append(row["party"])
            due_and_lost[row["clause"]][0] += 1
            due_and_lost[row["clause"]][1] += not in_time[-1]
        due, good = np.array(due_times), np.array(in_time, float)
        figures: dict = {"share": float(good.mean()) if len(good) else 0.0, "events": len(good)}
        figures["benefit"] = {
            "due": sum(
                count * classes[name]["benefit"] for name, (count, _) in due_and_lost.items()
            ),
            "lost": sum(
                lost * classes[name]["benefit"] for name, (_, lost) in due_and_lost.items()
            ),
            "lost of": {
                name: lost / count for name, (count, lost) in due_and_lost.items() if count
            },
        }
        if len(due):
            order = np.argsort(due)
            total, count = np.cumsum(good[order]), np.arange(1, len(due) + 1)
            ordered, worst_share, worst_at = due[order], 1.0, 0.0
            for start in np.arange(
                ordered[0], max(ordered[0], ordered[-1] - WORST_WINDOW_MS) + 1, 1000.0
            ):
                i, j = np.searchsorted(ordered, [start, start + WORST_WINDOW_MS])
                if j - i >= 10:  # a share of fewer requests says little
                    share = (total[j - 1] - (total[i - 1] if i else 0)) / (
                        count[j - 1] - (count[i - 1] if i else 0)
                    )
                    if share < worst_share:
                        worst_share, worst_at = float(share), float(start - self.begun)
            figures |= {"worst_ten_seconds": worst_share, "worst_at": worst_at}
            names = sorted(set(parties))
            shares = {n: float(good[np.array(parties) == n].mean()) for n in names}
            figures |= {"parties": shares, "worst_party": min(names, key=lambda n: shares[n])}
            for second, is_good in zip(
                ((due - self.begun) // 1000).astype(int).tolist(), good, strict=True
            ):
                seconds[second, "due"] += 1
                seconds[second, "in time"] += int(is_good)
        figures["ms"] = {
            name: {f"p{p:g}": h.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 99.9)}
            | {"count": h.get_total_count()}
            for name, h in histograms.items()
        }
        return figures, seconds

    def admission_figures(self):
        """Count the connections that known clients tried and got, and those that the flood got.

        Failed attempts to connect to a gateway that was down or stopped, or was just about to be, are left out: they
        say nothing about admission.

        Returns:
            Figures by kind; {} on days without connects and flood.
        """
        seen, found = self.seen, {}
        for name, succeeded, failed in (
            ("connects", seen.of("client", "connected"), seen.of("client", "connect failed")),
            ("came back", seen.of("crowd", "came back"), []),
        ):
            rows = [(r, True) for r in succeeded if r["fate"] != "refused"]
            rows += [
                (r, False)
                for r in [*failed, *succeeded]
                if r["what"] == "connect failed" or r["fate"] == "refused"
            ]
            rows = [(r, ok) for r, ok in rows if ok or not self.gateway_was_away(r)]
            if rows:
                took_ms = [r["a"] for r, ok in rows if ok] or [0.0]
                found[name] = {
                    "tried": len(rows),
                    "let in": sum(ok for _, ok in rows),
                    "p50": float(np.percentile(took_ms, 50)),
                    "p99": float(np.percentile(took_ms, 99)),
                    "why not": dict(Counter(r["text"] for r, ok in rows if not ok).most_common(5)),
                }
        if floods := seen.of("crowd", "flood"):
            found["flood"] = {
                "opened": sum(r["number"] for r in floods),
                "told": int(sum(r["a"] for r in floods)),
                "open at most": int(max(r["b"] for r in floods)),
            }
        return found

    def gateway_was_away(self, row):
        """Return whether the gateway was down or stopped at any time while a client tried to connect.

        The row's `a` is how long the attempt took, in ms. Each interval is widened by 100 ms at its start and 300 ms at
        its end. Once the run is closing, all gateways are being shut down, so the answer is always yes.
        """
        closing = [r["t"] for r in self.seen.of("conductor", "closing")]
        return (
            bool(closing)
            and row["t"] >= closing[0]
            or any(
                begin - 100 <= row["t"] and row["t"] - row["a"] <= end + 300
                for intervals in (self.killed_intervals, self.stopped_intervals)
                for begin, end in intervals.get(row["peer"], ())
            )
        )

    def figures_during(self, kind):
        """Return the figures of the requests that were due during the faults of one kind.

        Returns:
            The count of requests, the share within target and the 99th percentile in ms of those handled; None if the
            run had no such fault.
        """
        times = [r["t"] for r in self.seen.of("conductor", "trouble") if r["text"] == kind]
        # Rows of the fault's start and its end alternate.
        intervals = list(zip(times[::2], times[1::2], strict=False))
        if not intervals:
            return None
        took_ms, in_time = [], 0
        for row in self.seen.of("client", "sent"):
            if (
                row["number"]
                or row["text"] == "extra"
                or not any(begin <= row["a"] <= end for begin, end in intervals)
            ):
                continue
            # Repeats are skipped above: their answers belong to other launches.
            handled = [
                r["t"] - row["a"]
                for r in self.client_results.get(row["event"], ())
                if r["what"] == "answer" and r["fate"] == "handled"
            ]
            took_ms.append(handled[0] if handled else float("inf"))
            in_time += bool(handled) and handled[0] <= self.terms["events"][row["clause"]]["target"]
        handled_ms = sorted(ms for ms in took_ms if ms < float("inf"))
        return {
            "events": len(took_ms),
            "share": in_time / max(1, len(took_ms)),
            "p99": handled_ms[int(len(handled_ms) * 0.99)] if handled_ms else 0.0,
        }

    def release_figures(self):
        """Return figures of the released versions, over all gateways.

        Returns:
            By version: launches, errors, and when it was first and last launched, in s from the start of the run.
            Versions with most errors come first; at most twenty are listed.
        """
        found = {}
        for launches in self.launches.values():
            for row in launches:
                if "@" not in row["function"]:  # the name holds no version
                    continue
                version = found.setdefault(
                    row["function"], {"launches": 0, "errors": 0, "from": 1e18, "until": 0.0}
                )
                outcome, at_s = self.outcomes.get(launch_key(row)), (row["t"] - self.begun) / 1000
                version["launches"] += 1
                version["errors"] += outcome is not None and outcome["fate"] == "error"
                version["from"], version["until"] = (
                    min(version["from"], round(at_s, 1)),
                    max(version["until"], round(at_s, 1)),
                )
        ranked = sorted(
            found.items(), key=lambda item: (-item[1]["errors"], -item[1]["launches"], item[0])
        )
        return dict(ranked[:20])
