"""Over all gateways, from traffic: what ended with its gateway's life, what was taken over, and that it was once."""

from collections import Counter, defaultdict
from typing import Any

from cherrydoor.rehearsal.seen import SLACK


class TakeoverAudit:
    """Lives that are over, as hosts were told; what was seen is the audit's."""

    seen: Any
    sent: dict
    terms: dict
    ends: Any
    launches: Any
    add_violation: Any

    def check_takeovers(self):
        """Nothing acts for a life that is over, or under a number that has been passed, at a host that knows; and
        nobody, whoever it is, launches what its client has an answer of."""
        told = defaultdict(list)  # (host, gateway) -> (when, life, number), as accepted there
        for row in self.seen.of("host", "over"):
            if row["fate"]:
                continue
            before = told[row["who"], row["text"]]
            if any(
                incarnation == row["a"] and number > row["number"]
                for _, incarnation, number in before
            ):
                self.add_violation(
                    2, row["t"], f"{row['who']} took a lower number for {row['text']}", row["peer"]
                )
            before.append((row["t"], row["a"], row["number"]))
        for number, launches in self.launches.items():
            answer = next((r for r in self.ends.get(number, ()) if r["what"] == "answer"), None)
            for row in launches:
                incarnation = float(row["text"] or 0)
                if any(
                    t < row["t"] and 0 < incarnation <= over
                    for t, over, _ in told.get((row["who"], row["peer"]), ())
                ):
                    self.add_violation(
                        2, row["t"], "a launch of a life that is over", row["peer"], number
                    )
                taker = self.sent[number]["peer"] if number in self.sent else row["peer"]
                if row["peer"] != taker and any(
                    t < row["t"] and row["c"] < passed and over == self.incarnation_of(number)
                    for t, over, passed in told.get((row["who"], taker), ())
                ):
                    self.add_violation(
                        2,
                        row["t"],
                        "a launch under a number that has been passed",
                        row["peer"],
                        number,
                    )
                if answer is not None and row["peer"] != taker and row["t"] > answer["t"] + SLACK:
                    self.add_violation(
                        1,
                        row["t"],
                        "a launch elsewhere after the final answer",
                        row["peer"],
                        number,
                    )

    def incarnation_of(self, number):
        """The life that took an event, by the first launch of its own gateway; None where none came."""
        taker = self.sent[number]["peer"] if number in self.sent else None
        return next(
            (float(r["text"] or 0) for r in self.launches[number] if r["peer"] == taker), None
        )

    def check_drained_zones(self):
        """Nothing is steered to a site from when its drain says that it is empty until it is undone."""
        zones = {row["who"]: row["text"].split("/")[0] for row in self.seen.of("host", "host up")}
        spans, since = [], {}
        for row in self.seen.of("conductor", "site"):
            if row["fate"] == "empty":
                since.setdefault(row["text"], row["t"])
            elif row["fate"] in ("undo", "undoing", "over") and row["text"] in since:
                spans.append((row["text"], since.pop(row["text"]), row["t"]))
        spans += [(site, begun, float("inf")) for site, begun in since.items()]
        for number, launches in self.launches.items():
            for row in launches:
                for site, begun, end in spans:
                    if zones.get(row["who"]) == site and begun + SLACK < row["t"] < end:
                        self.add_violation(
                            3,
                            row["t"],
                            f"a launch at {site}, which is said to be empty",
                            row["peer"],
                            number,
                        )

    def takeover_figures(self):
        """What became of events whose connection ended without an answer; {} where nothing could be claimed."""
        claims = {row["event"] for row in self.seen.of("client", "claims")}
        found: Counter = Counter()
        kinds, took = self.terms["events"], []
        for number, sent in self.sent.items():
            rows = self.ends.get(number, [])
            cut = next((r for r in rows if r["what"] == "cut"), None)
            if cut is None:
                continue
            kind = kinds[sent["clause"]]
            answer = next((r for r in rows if r["what"] == "answer"), None)
            found["cut off"] += 1
            found[f"cut off: {kind['kind']}"] += 1
            if answer is None:
                found["not claimed" if number not in claims else "no answer"] += 1
            elif answer["fate"] == "handled":
                late = answer["t"] - sent["a"] > kind["target"]
                found["handled, late" if late else "handled within target"] += 1
                took.append(answer["t"] - cut["t"])
            else:
                found[f"{answer['fate']}: {answer['text'].split(':')[0]}"] += 1
        if not claims:
            return {}
        took.sort()
        middle = (
            {
                "p50 ms to an answer": round(took[len(took) // 2], 1),
                "p99 ms to an answer": round(took[int(len(took) * 0.99)], 1),
            }
            if took
            else {}
        )
        overs = [r for r in self.seen.of("host", "over") if not r["fate"]]
        return {
            **dict(found.most_common()),
            **middle,
            "lives over": len({(r["text"], r["a"]) for r in overs}),
            "adopted": len(self.seen.of("host", "adopt")),
            "refused at hosts": len(self.seen.of("host", "refused")),
        }
