"""Shows an audit's report: as tables on the terminal, and as a chart of load, answers and faults over time."""

from rich.console import Console
from rich.table import Table

RULES = {
    1: "one final answer in time",
    2: "no effect twice",
    3: "drains kept",
    4: "no cold host pushed over",
    5: "orders to load rationed",
}


def print_report(found):
    """Print the report as tables.

    Args:
        found: The report of `cherrydoor.rehearsal.audit.audit`.
    """
    console, service = Console(width=110), found["service"]
    rules = Table(
        "rule", "", "broken", title=f"{found['day']}, seed {found['seed']}, {found['decides']}"
    )
    for number, name in RULES.items():
        count = sum(1 for violation in found["broken"] if violation["rule"] == number)
        rules.add_row(str(number), name, f"[red]{count}" if count else "kept")
    console.print(rules)
    for entry in found["broken"][:20]:
        console.print(
            f"  rule {entry['rule']} at {entry['at'] / 1000:.2f} s: {entry['what']} "
            f"({entry['gateway']}, event {entry['event']})",
            markup=False,
        )
    if found["crowded"]:
        console.print(
            f"  [yellow]{len(found['crowded'])} events ended late while a process of the run had no core: "
            "the machine was overloaded"
        )
    if found["excused"]:
        console.print(
            "  excused, not counted as violations: "
            + "; ".join(f"{amount} {label}" for label, amount in found["excused"].items())
        )
    shares = Table("within target", "share")
    shares.add_row("the whole run", f"{service['share']:.3f}")
    if service["events"]:
        shares.add_row(
            f"the worst ten seconds, from {service['worst_at'] / 1000:.0f} s",
            f"{service['worst_ten_seconds']:.3f}",
        )
        for name, share in service["parties"].items():
            worst = " (worst served)" if name == service["worst_party"] else ""
            shares.add_row(f"party {name or '-'}{worst}", f"{share:.3f}")
    console.print(shares)
    latencies = Table("event type", "handled", "p50 ms", "p90", "p99", "p99.9")
    for name, ms in service["ms"].items():
        latencies.add_row(
            name, str(ms["count"]), *(f"{ms[p]:.1f}" for p in ("p50", "p90", "p99", "p99.9"))
        )
    console.print(latencies)
    counts = Table("count of", "")
    for what in ("launches", "loads", "orders", "effects", "fell"):
        counts.add_row(what, str(found[what]))
    for what, count in (found["answers"] | found["not_handled"]).items():
        counts.add_row(what, str(count))
    console.print(counts)
    if found["doors"]:
        connections = Table("known clients", "tried", "let in", "p50 ms", "p99", "why not")
        for name in ("connects", "came back"):
            if entry := found["doors"].get(name):
                connections.add_row(
                    name,
                    str(entry["tried"]),
                    str(entry["let in"]),
                    f"{entry['p50']:.1f}",
                    f"{entry['p99']:.1f}",
                    "; ".join(f"{amount} {label}" for label, amount in entry["why not"].items()),
                )
        console.print(connections)
        if entry := found["doors"].get("flood"):
            console.print(
                "flood: " + ", ".join(f"{amount} {label}" for label, amount in entry.items())
            )
    if found["releases"]:
        versions = Table("version", "launches", "errors", "from s", "until")
        for name, entry in list(found["releases"].items())[:8]:
            versions.add_row(
                name, *(str(entry[label]) for label in ("launches", "errors", "from", "until"))
            )
        console.print(versions)
    if found["taken over"]:
        takeovers = Table("requests of ended connections", "")
        for what, count in found["taken over"].items():
            takeovers.add_row(what, str(count))
        console.print(takeovers)
    if found["lag_ms"]:
        console.print(
            "delay of the load generator in ms: "
            + ", ".join(f"{name} {value:.1f}" for name, value in found["lag_ms"].items())
        )


def draw_chart(found, path):
    """Draw the report's timeline into a file, as SVG or PNG by the file's suffix.

    The time axis is in s from the end of the warm-up.

    Args:
        found: The report of `cherrydoor.rehearsal.audit.audit`.
        path: The file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    timeline, warm_up_s = found["line"], found["warm"] / 1000
    figure, (top, low) = plt.subplots(2, 1, figsize=(11, 6.5), sharex=True)
    seconds = [second - warm_up_s for second in range(len(timeline["due"]))]
    top.plot(seconds, timeline["due"], color="black", label="events due")
    top.plot(seconds, timeline["launches"], color="tab:blue", lw=1, label="launches")
    top.stackplot(
        seconds,
        timeline["handled"],
        timeline["deferred"],
        timeline["dead-lettered"],
        alpha=0.5,
        labels=["handled", "deferred", "dead-lettered"],
        colors=["tab:green", "tab:orange", "tab:red"],
    )
    top.set_ylabel("per second")
    top.legend(loc="upper left", fontsize=8, ncols=5)
    share = [
        good / due if due else float("nan")
        for good, due in zip(timeline["in time"], timeline["due"], strict=True)
    ]
    low.plot(seconds, share, color="tab:green")
    low.set_ylim(-0.02, 1.02)
    low.set_ylabel("share within target, by time due")
    low.set_xlabel(f"s    ({found['day']}, seed {found['seed']}, {found['decides']})")
    started_at_s, label_count = {}, 0
    for trouble in found["troubles"]:
        if trouble["begins"]:
            started_at_s[trouble["what"]] = trouble["at"] / 1000 - warm_up_s
        elif trouble["what"] in started_at_s:
            start_s, end_s = started_at_s.pop(trouble["what"]), trouble["at"] / 1000 - warm_up_s
            for axis in (top, low):
                axis.axvspan(start_s, end_s, alpha=0.08, color="tab:purple")
            low.text(start_s, 0.02 + 0.07 * (label_count % 7), trouble["what"], fontsize=7)
            label_count += 1
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
