"""The judgement for people: a table on the terminal, and a chart of load, answers and troubles over time."""

from rich.console import Console
from rich.table import Table

RULES = {
    1: "one final answer in time",
    2: "no effect twice",
    3: "drains kept",
    4: "no cold host pushed over",
    5: "orders to load rationed",
}


def table(found):
    console, served = Console(width=110), found["service"]
    rules = Table(
        "rule", "", "broken", title=f"{found['day']}, seed {found['seed']}, {found['decides']}"
    )
    for number, name in RULES.items():
        count = sum(1 for b in found["broken"] if b["rule"] == number)
        rules.add_row(str(number), name, f"[red]{count}" if count else "kept")
    console.print(rules)
    for one in found["broken"][:20]:
        console.print(
            f"  rule {one['rule']} at {one['at'] / 1000:.2f} s: {one['what']} "
            f"({one['gateway']}, event {one['event']})",
            markup=False,
        )
    if found["crowded"]:
        console.print(
            f"  [yellow]{len(found['crowded'])} events ended late while a process of the run had no core: "
            "the machine was crowded"
        )
    if found["excused"]:
        console.print(
            "  not counted: " + "; ".join(f"{v} {k}" for k, v in found["excused"].items())
        )
    main = Table("within target", "share")
    main.add_row("the whole run", f"{served['share']:.3f}")
    if served["events"]:
        main.add_row(
            f"the worst ten seconds, from {served['worst_at'] / 1000:.0f} s",
            f"{served['worst_ten_seconds']:.3f}",
        )
        for name, share in served["parties"].items():
            worst = " (worst served)" if name == served["worst_party"] else ""
            main.add_row(f"party {name or '-'}{worst}", f"{share:.3f}")
    console.print(main)
    took = Table("event type", "handled", "p50 ms", "p90", "p99", "p99.9")
    for name, ms in served["ms"].items():
        took.add_row(
            name, str(ms["count"]), *(f"{ms[p]:.1f}" for p in ("p50", "p90", "p99", "p99.9"))
        )
    console.print(took)
    counts = Table("counted", "")
    for what in ("launches", "loads", "orders", "effects", "fell"):
        counts.add_row(what, str(found[what]))
    for what, count in (found["answers"] | found["not_handled"]).items():
        counts.add_row(what, str(count))
    console.print(counts)
    if found["doors"]:
        came = Table("known clients", "tried", "let in", "p50 ms", "p99", "why not")
        for name in ("connects", "came back"):
            if one := found["doors"].get(name):
                came.add_row(
                    name,
                    str(one["tried"]),
                    str(one["let in"]),
                    f"{one['p50']:.1f}",
                    f"{one['p99']:.1f}",
                    "; ".join(f"{v} {k}" for k, v in one["why not"].items()),
                )
        console.print(came)
        if one := found["doors"].get("flood"):
            console.print("flood: " + ", ".join(f"{v} {k}" for k, v in one.items()))
    if found["releases"]:
        versions = Table("version", "launches", "errors", "from s", "until")
        for name, one in list(found["releases"].items())[:8]:
            versions.add_row(name, *(str(one[k]) for k in ("launches", "errors", "from", "until")))
        console.print(versions)
    if found["taken over"]:
        over = Table("work in hand", "")
        for what, count in found["taken over"].items():
            over.add_row(what, str(count))
        console.print(over)
    if found["lag_ms"]:
        console.print(
            "the generator sent late by ms: "
            + ", ".join(f"{name} {value:.1f}" for name, value in found["lag_ms"].items())
        )


def charts(found, path):
    """Writes an SVG (or PNG, by the ending) with seconds across."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    line, warm = found["line"], found["warm"] / 1000
    fig, (top, low) = plt.subplots(2, 1, figsize=(11, 6.5), sharex=True)
    x = [s - warm for s in range(len(line["due"]))]
    top.plot(x, line["due"], color="black", label="events due")
    top.plot(x, line["launches"], color="tab:blue", lw=1, label="launches")
    top.stackplot(
        x,
        line["handled"],
        line["deferred"],
        line["dead-lettered"],
        alpha=0.5,
        labels=["handled", "deferred", "dead-lettered"],
        colors=["tab:green", "tab:orange", "tab:red"],
    )
    top.set_ylabel("a second")
    top.legend(loc="upper left", fontsize=8, ncols=5)
    share = [
        good / due if due else float("nan")
        for good, due in zip(line["in time"], line["due"], strict=True)
    ]
    low.plot(x, share, color="tab:green")
    low.set_ylim(-0.02, 1.02)
    low.set_ylabel("share within target, by when due")
    low.set_xlabel(f"s    ({found['day']}, seed {found['seed']}, {found['decides']})")
    open_at, row = {}, 0
    for trouble in found["troubles"]:
        if trouble["begins"]:
            open_at[trouble["what"]] = trouble["at"] / 1000 - warm
        elif trouble["what"] in open_at:
            a, b = open_at.pop(trouble["what"]), trouble["at"] / 1000 - warm
            for axis in (top, low):
                axis.axvspan(a, b, alpha=0.08, color="tab:purple")
            low.text(a, 0.02 + 0.07 * (row % 7), trouble["what"], fontsize=7)
            row += 1
    fig.tight_layout()
    fig.savefig(path)
    plt.close(fig)
