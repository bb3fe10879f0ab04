"""Rule 2 from traffic: no effect twice, no two launches of one event at once, nothing deferred that may have run."""

from collections import defaultdict
from typing import Any

from cherrydoor.rehearsal.seen import NEVER_RAN, SLACK, key


class EffectAudit:
    """Effects and launches as hosts had them; what was seen is the audit's."""

    seen: Any
    terms: dict
    ends: Any
    launches: Any
    outcomes: dict
    add_violation: Any

    def rule_2(self):
        effects, kinds = defaultdict(list), self.terms["events"]
        for row in self.seen.of("host", "effect"):
            effects[row["clause"], row["mark"]].append(row)
        for (clause, mark), rows in effects.items():
            if kinds[clause]["kind"] != "redeliverable" and len(rows) > 1:
                self.add_violation(
                    2,
                    rows[1]["t"],
                    f"an effect twice ({kinds[clause]['kind']}, {mark})",
                    rows[1]["peer"],
                    rows[1]["event"],
                )
        ends = self.launch_ends()
        for number, launches in self.launches.items():
            launches.sort(key=lambda r: r["t"])
            kind = kinds[launches[0]["clause"]]
            for before, after in zip(launches, launches[1:], strict=False):
                both = (
                    min(ends[key(before)], ends[key(after)]) - after["t"]
                )  # 0 where one came dead on arrival
                if not self.terms["twice"] and both > SLACK:
                    self.add_violation(
                        2, after["t"], "two launches out at once", after["peer"], number
                    )
                if kind["kind"] == "at-most-once" and not self.never_ran(before):
                    self.add_violation(
                        2,
                        after["t"],
                        "a further launch of what may have run",
                        after["peer"],
                        number,
                    )
                if (
                    kind["kind"] == "keyed"
                    and not self.never_ran(before)
                    and (after["t"] - before["t"] > kind["memory"] + SLACK)
                ):
                    self.add_violation(
                        2,
                        after["t"],
                        "a further launch past what hosts remember",
                        after["peer"],
                        number,
                    )
            answer = next((r for r in self.ends.get(number, ()) if r["what"] == "answer"), None)
            ran = [r for r in launches if not self.never_ran(r)]
            harmless = (
                kind["kind"] == "redeliverable"
                or kind["kind"] == "keyed"
                and kind["group"] == "all"
            )
            if answer and answer["fate"] == "deferred" and ran and not harmless:
                self.add_violation(
                    2, answer["t"], "a deferral of what may have run", answer["peer"], number
                )

    def never_ran(self, launch):
        outcome = self.outcomes.get(key(launch))
        return outcome is not None and outcome["fate"] in NEVER_RAN

    def launch_ends(self):
        """When each launch ended as its host saw it: answered, recalled, cut, or past its limit."""
        found = {}
        recalls = defaultdict(list)  # of what has run to its end the host knows the id alone
        for row in self.seen.of("host", "recall"):
            recalls[row["who"], row["peer"], row["id"]].append(row["t"])
        lost = {
            key(r): r["t"] for r in self.seen.of("host", "answer lost")
        }  # it ran, and nobody was told
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
