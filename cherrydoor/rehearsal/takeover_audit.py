"""Checks failover on recorded traffic, across all gateways of the run.

Covers requests whose gateway ended: what was taken over, that ended incarnations and superseded fencing tokens are no
longer used, and that no request is launched elsewhere after its final answer. Also checks that zones that were drained
get no work.
"""

from collections import Counter, defaultdict
from typing import Any

from cherrydoor.rehearsal.seen import SLACK_MS


class TakeoverAudit:
    """Checks ended incarnations, as hosts were told of them, and drained zones; `Audit` sets the attributes."""

    seen: Any
    sent: dict
    terms: dict
    client_results: Any
    launches: Any
    add_violation: Any

    def check_takeovers(self):
        """Check that no host gets work of an ended incarnation or under a superseded fencing token.

        A host counts only from when it was told that the incarnation had ended. Also checks that no other gateway
        launches a request after its client has the final answer.
        """
        # (host, owner) -> (when, incarnation, fencing token) of each end of an incarnation that the host accepted
        accepted_ends = defaultdict(list)
        for row in self.seen.of("host", "over"):
            if row["fate"]:
                continue
            before = accepted_ends[row["who"], row["text"]]
            if any(
                incarnation == row["a"] and fencing_token > row["number"]
                for _, incarnation, fencing_token in before
            ):
                self.add_violation(
                    2,
                    row["t"],
                    f"{row['who']} accepted a lower fencing token for {row['text']}",
                    row["peer"],
                )
            before.append((row["t"], row["a"], row["number"]))
        for request_id, launches in self.launches.items():
            answer = next(
                (r for r in self.client_results.get(request_id, ()) if r["what"] == "answer"), None
            )
            for row in launches:
                incarnation = float(row["text"] or 0)
                if any(
                    t < row["t"] and 0 < incarnation <= ended
                    for t, ended, _ in accepted_ends.get((row["who"], row["peer"]), ())
                ):
                    self.add_violation(
                        2, row["t"], "launch by an ended incarnation", row["peer"], request_id
                    )
                owner = self.sent[request_id]["peer"] if request_id in self.sent else row["peer"]
                if row["peer"] != owner and any(
                    t < row["t"]
                    and row["c"] < fencing_token
                    and ended == self.incarnation_of(request_id)
                    for t, ended, fencing_token in accepted_ends.get((row["who"], owner), ())
                ):
                    self.add_violation(
                        2,
                        row["t"],
                        "launch under a superseded fencing token",
                        row["peer"],
                        request_id,
                    )
                if (
                    answer is not None
                    and row["peer"] != owner
                    and row["t"] > answer["t"] + SLACK_MS
                ):
                    self.add_violation(
                        1,
                        row["t"],
                        "launch by another gateway after the final answer",
                        row["peer"],
                        request_id,
                    )

    def incarnation_of(self, request_id):
        """Return the incarnation that accepted a request, or None if its owner never launched it.

        It is taken from the owner's first launch.
        """
        owner = self.sent[request_id]["peer"] if request_id in self.sent else None
        return next(
            (float(r["text"] or 0) for r in self.launches[request_id] if r["peer"] == owner), None
        )

    def check_drained_zones(self):
        """Check that nothing is launched in a zone from when its drain reports it empty until the drain is undone."""
        zone_of_host = {
            row["who"]: row["text"].split("/")[0] for row in self.seen.of("host", "host up")
        }
        intervals, empty_since = [], {}
        for row in self.seen.of("conductor", "site"):
            if row["fate"] == "empty":
                empty_since.setdefault(row["text"], row["t"])
            elif row["fate"] in ("undo", "undoing", "over") and row["text"] in empty_since:
                intervals.append((row["text"], empty_since.pop(row["text"]), row["t"]))
        intervals += [(zone, begin, float("inf")) for zone, begin in empty_since.items()]
        for request_id, launches in self.launches.items():
            for row in launches:
                for zone, begin, end in intervals:
                    if zone_of_host.get(row["who"]) == zone and begin + SLACK_MS < row["t"] < end:
                        self.add_violation(
                            3,
                            row["t"],
                            f"launch in {zone} after its drain reported it empty",
                            row["peer"],
                            request_id,
                        )

    def takeover_figures(self):
        """Count what became of requests whose connection ended before they were answered.

        Returns:
            Counts by result, and the time in ms from the end of the connection to a handled answer; {} if no client
            claimed an answer at another gateway.
        """
        claims = {row["event"] for row in self.seen.of("client", "claims")}
        found: Counter = Counter()
        classes, took = self.terms["events"], []
        for request_id, sent in self.sent.items():
            rows = self.client_results.get(request_id, [])
            cut = next((r for r in rows if r["what"] == "cut"), None)
            if cut is None:
                continue
            request_class = classes[sent["clause"]]
            answer = next((r for r in rows if r["what"] == "answer"), None)
            found["cut off"] += 1
            found[f"cut off: {request_class['kind']}"] += 1
            if answer is None:
                found["not claimed" if request_id not in claims else "no answer"] += 1
            elif answer["fate"] == "handled":
                late = answer["t"] - sent["a"] > request_class["target"]
                found["handled, late" if late else "handled within target"] += 1
                took.append(answer["t"] - cut["t"])
            else:
                found[f"{answer['fate']}: {answer['text'].split(':')[0]}"] += 1
        if not claims:
            return {}
        took.sort()
        percentiles = (
            {
                "p50 ms to an answer": round(took[len(took) // 2], 1),
                "p99 ms to an answer": round(took[int(len(took) * 0.99)], 1),
            }
            if took
            else {}
        )
        accepted_ends = [r for r in self.seen.of("host", "over") if not r["fate"]]
        return {
            **dict(found.most_common()),
            **percentiles,
            "lives over": len({(r["text"], r["a"]) for r in accepted_ends}),
            "adopted": len(self.seen.of("host", "adopt")),
            "refused at hosts": len(self.seen.of("host", "refused")),
        }
