"""Lists the causes of late requests from gateway trace logs: `python -m bench.mass.account FOLDER`.

The operators' kit runs the scenario with `--deploy deploy/trace.toml --logs FOLDER`. For each
folder, prints the number of client tries by outcome, then one line for each cause: the number of
tries, their share of all tries that were not in time, and their outcomes. docs/studies/mass-days.md
describes the method.
"""

import sys
from collections import Counter, defaultdict
from pathlib import Path

from bench.mass.causes import SHORT_TIMEOUT_SHARE, Day, cause, read


def events_of(folder):
    """Returns the events of all gateways that have a log in the folder."""
    found = []
    for path in sorted(Path(folder).glob("*.log")):
        with path.open(errors="replace") as lines:
            found += read(lines, path.stem)
    return found


def table(events):
    """Returns (totals, [(cause, tries, late, not handled)]) of a scenario."""
    day, rows = Day(events), defaultdict(Counter)
    for event in events:
        first_cause = cause(day, event)
        if first_cause:
            rows[first_cause]["all"] += 1
            rows[first_cause]["late" if event.outcome == "handled" else "not handled"] += 1
    totals = Counter(
        {
            "tries": len(events),
            "in time": sum(traced.is_in_time for traced in events),
            "late": sum(traced.outcome == "handled" and not traced.is_in_time for traced in events),
            "of short clients": sum(
                traced.client_timeout_ms < SHORT_TIMEOUT_SHARE * traced.latency_objective_ms
                for traced in events
            ),
            "of short clients in time": sum(
                traced.client_timeout_ms < SHORT_TIMEOUT_SHARE * traced.latency_objective_ms
                and traced.is_in_time
                for traced in events
            ),
        }
    )
    return totals, sorted(
        (
            (first_cause, counts["all"], counts["late"], counts["not handled"])
            for first_cause, counts in rows.items()
        ),
        key=lambda row: -row[1],
    )


def main(folders):
    for folder in folders:
        totals, rows = table(events_of(folder))
        lost = sum(row[1] for row in rows) or 1
        print(f"{folder}: " + ", ".join(f"{count} {outcome}" for outcome, count in totals.items()))
        for first_cause, tries, late, other in rows:
            print(
                f"  {first_cause:56} {tries:6} {tries / lost:6.1%}   {late:6} late {other:6} not handled"
            )


if __name__ == "__main__":
    main(sys.argv[1:])
