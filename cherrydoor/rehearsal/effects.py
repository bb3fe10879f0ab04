"""Checks rule 2 on recorded traffic: no effect happens twice.

It also requires that a request is never launched again or deferred when an earlier launch may have run, and that two
launches of one request are never in flight at the same time.
"""

from collections import defaultdict
from typing import Any

from cherrydoor.rehearsal.seen import NEVER_RAN_OUTCOMES, SLACK_MS, launch_key


class EffectAudit:
    """Checks the effects and launches that hosts recorded; `Audit` sets the attributes."""

    seen: Any
    terms: dict
    client_results: Any
    launches: Any
    outcomes: dict
    add_violation: Any

    def rule_2(self):
        """Check effects by idempotency key, then the launches and the answer of each request."""
        effects, classes = defaultdict(list), self.terms["events"]
        for row in self.seen.of("host", "effect"):
            effects[row["clause"], row["mark"]].append(row)
        for (class_name, idempotency_key), rows in effects.items():
            if classes[class_name]["kind"] != "redeliverable" and len(rows) > 1:
                self.add_violation(
                    2,
                    rows[1]["t"],
                    f"effect ran twice ({classes[class_name]['kind']}, {idempotency_key})",
                    rows[1]["peer"],
                    rows[1]["event"],
                )
        ends = self.launch_ends()
        for request_id, launches in self.launches.items():
            launches.sort(key=lambda r: r["t"])
            request_class = classes[launches[0]["clause"]]
            for before, after in zip(launches, launches[1:], strict=False):
                # Not positive if one of the two had already timed out when it reached its host.
                overlap_ms = min(ends[launch_key(before)], ends[launch_key(after)]) - after["t"]
                if not self.terms["twice"] and overlap_ms > SLACK_MS:
                    self.add_violation(
                        2, after["t"], "two launches in flight at once", after["peer"], request_id
                    )
                if request_class["kind"] == "at-most-once" and not self.never_ran(before):
                    self.add_violation(
                        2,
                        after["t"],
                        "another launch of an at-most-once request that may have run",
                        after["peer"],
                        request_id,
                    )
                if (
                    request_class["kind"] == "keyed"
                    and not self.never_ran(before)
                    and (after["t"] - before["t"] > request_class["memory"] + SLACK_MS)
                ):
                    self.add_violation(
                        2,
                        after["t"],
                        "another launch after hosts may have forgotten the idempotency key",
                        after["peer"],
                        request_id,
                    )
            answer = next(
                (r for r in self.client_results.get(request_id, ()) if r["what"] == "answer"), None
            )
            may_have_run = [r for r in launches if not self.never_ran(r)]
            # A client repeats a deferred request. That does no harm where repeats are allowed, or where all hosts
            # recognise the idempotency key.
            harmless = (
                request_class["kind"] == "redeliverable"
                or request_class["kind"] == "keyed"
                and request_class["group"] == "all"
            )
            if answer and answer["fate"] == "deferred" and may_have_run and not harmless:
                self.add_violation(
                    2,
                    answer["t"],
                    "deferral of a request that may have run",
                    answer["peer"],
                    request_id,
                )

    def never_ran(self, launch):
        """Return whether the host answered the launch with an outcome that excludes that it ran."""
        outcome = self.outcomes.get(launch_key(launch))
        return outcome is not None and outcome["fate"] in NEVER_RAN_OUTCOMES

    def launch_ends(self):
        """Return when each launch ended, in ms, as its host recorded it.

        A launch ends with the first of these: its answer, its cancellation, the end of its connection, the end of its
        host, or its time limit.
        """
        found = {}
        # By host, gateway and id alone: a host no longer knows the request of a launch that has finished.
        recalls = defaultdict(list)
        for row in self.seen.of("host", "recall"):
            recalls[row["who"], row["peer"], row["id"]].append(row["t"])
        # The launch ran, but the gateway did not receive the answer.
        lost = {launch_key(r): r["t"] for r in self.seen.of("host", "answer lost")}
        cuts = {launch_key(r): r["t"] for r in self.seen.of("host", "cut")}
        downs = defaultdict(list)
        for row in self.seen.of("host", "host down"):
            downs[row["who"]].append(row["t"])
        for launches in self.launches.values():
            for row in launches:
                key = launch_key(row)
                times = [row["t"] + row["a"], cuts.get(key, 1e18), lost.get(key, 1e18)]
                times += [t for t in recalls.get(key[:3], ()) if t >= row["t"]]
                if key in self.outcomes:
                    times.append(self.outcomes[key]["t"])
                times += [t for t in downs[row["who"]] if t >= row["t"]]
                found[key] = min(times)
        return found
