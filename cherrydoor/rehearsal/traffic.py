"""The arrivals of a day, drawn ahead from its seed: they do not wait for answers, and the same seed gives the same."""

import numpy as np


class Arrivals:
    """Lists of one length, in order of time: at (ms from the start), function, clause, party, gateway (numbers),
    patience (share of the max age after which the try is given up), leaves (ms after which the client withdraws, 0
    never), extra (True for repeats that clients send without need)."""

    def __init__(self, **columns):
        order = np.argsort(columns["at"], kind="stable")
        for name, column in columns.items():
            setattr(self, name, np.asarray(column)[order].tolist())

        self.count = len(order)


def rate_at(day, times):
    """Events a second at each of the times (ms), without what troubles add."""
    clients, whole = day["clients"], day["length"] + day["warm"]
    base = np.full(len(times), float(clients["per_second"]))
    if clients["shape"] == "wave":
        base *= 1 + clients["swing"] * np.sin(2 * np.pi * times / (whole / 2))
    for trouble in day["troubles"]:
        if trouble["what"] == "burst":
            since = times - trouble["at"] - day["warm"]
            rise = np.clip(since / 500, 0, 1) * np.clip((trouble["lasts"] - since) / 500, 0, 1)
            base *= 1 + (trouble["size"] - 1) * rise
    return base


def poisson(rng, day, floor=1.0):
    """Times by thinning; bursty ones come in clumps of the same mean."""
    whole = day["length"] + day["warm"]
    grid = np.arange(0.0, whole, 10.0)
    top = rate_at(day, grid).max() * 1.01 + floor
    clump = 4 if day["clients"]["shape"] == "bursty" else 1
    count = rng.poisson(top * whole / 1000 / clump)
    at = np.sort(rng.uniform(0, whole, count))
    at = at[rng.uniform(0, top, count) < rate_at(day, at)]
    if clump > 1:
        at = np.repeat(at, rng.poisson(clump, len(at)))
        at = np.sort(np.minimum(at + rng.exponential(8.0, len(at)), whole - 0.001))
    return at


def zipf_of(rng, day, at):
    """Function numbers: popularity by rank, and a part of the ranks changes hands each spell."""
    functions = day["functions"]
    n = functions["count"]
    weight = 1 / (np.arange(n) + 2.0) ** functions["zipf"]
    edge = np.cumsum(weight / weight.sum())
    rank = np.minimum(np.searchsorted(edge, rng.uniform(0, 1, len(at))), n - 1)
    spells = int((day["length"] + day["warm"]) // functions["spell"]) + 1
    holder, fresh = np.arange(n), n
    chosen = np.empty(len(at), dtype=np.int64)
    spell = (at // functions["spell"]).astype(int)
    for s in range(spells):
        if s:
            turned = rng.uniform(0, 1, n) < functions["turning"]
            holder = np.where(turned, np.arange(fresh, fresh + n), holder)
            fresh += n
        inside = spell == s
        chosen[inside] = holder[rank[inside]]
    return chosen, fresh


def timers(rng, day, total):
    """Functions called at a period, each through one gateway."""
    functions, whole = day["functions"], day["length"] + day["warm"]
    per_second = day["clients"]["per_second"] * functions["timed"]
    count = int(round(per_second * functions["period"] / 1000))
    at, function, gateway = [np.empty(0)], [np.empty(0, int)], [np.empty(0, int)]
    for i in range(count):
        period = functions["period"] * rng.uniform(0.8, 1.2)
        times = np.arange(rng.uniform(0, period), whole, period)
        at.append(times)
        function.append(np.full(len(times), total + i))
        gateway.append(np.full(len(times), rng.integers(day["gateways"]["count"])))
    return np.concatenate(at), np.concatenate(function), np.concatenate(gateway)


def draw_arrivals(day):
    """All arrivals of a day. Each part has a random stream of its own, so that a trouble added moves no other."""
    streams = dict(
        zip(
            (
                "times",
                "functions",
                "clauses",
                "parties",
                "gateways",
                "patience",
                "timers",
                "troubles",
            ),
            map(np.random.default_rng, np.random.SeedSequence(day["seed"]).spawn(8)),
            strict=True,
        )
    )
    at = poisson(streams["times"], day)
    function, fresh = zipf_of(streams["functions"], day, at)
    timed_at, timed_function, timed_gateway = timers(streams["timers"], day, fresh)
    fresh += len(timed_at) + 1
    n = day["gateways"]["count"]
    weight = streams["gateways"].lognormal(0, day["clients"]["uneven"], n)
    gateway = streams["gateways"].choice(n, len(at), p=weight / weight.sum())
    function = troubled(streams["troubles"], day, at, function, fresh)
    repeats = repeated(streams["troubles"], day, at)
    at = np.concatenate([at, timed_at, at[repeats] + 30.0])
    function = np.concatenate([function, timed_function, function[repeats]])
    gateway = np.concatenate([gateway, timed_gateway, gateway[repeats]])
    extra = np.zeros(len(at), bool)
    extra[len(at) - len(repeats) :] = True
    clauses = np.array([e["share"] for e in day["events"]], float)
    offices = np.array([o["share"] for o in day["offices"]] or [1.0], float)
    clause = streams["clauses"].choice(len(clauses), len(at), p=clauses / clauses.sum())
    if day["functions"]["typed"]:
        clause = np.searchsorted(
            np.cumsum(clauses / clauses.sum()), (function * 6271 + 7) % 1000 / 1000, side="right"
        )
    owner = (function * 7919 + 13) % 1000 / 1000  # a function belongs to one office, as deeds do
    party = np.searchsorted(np.cumsum(offices / offices.sum()), owner, side="right").clip(
        0, len(offices) - 1
    )
    share = day["clients"]["try_share"]
    patience = streams["patience"].uniform(share, 1.0, len(at)) if share < 1 else np.ones(len(at))
    leaves = np.where(
        streams["patience"].uniform(0, 1, len(at)) < day["clients"]["impatient"],
        streams["patience"].uniform(20, 600, len(at)),
        0.0,
    )
    return Arrivals(
        at=at,
        function=function,
        clause=clause,
        party=party,
        gateway=gateway,
        patience=patience,
        leaves=leaves,
        extra=extra,
    )


def troubled(rng, day, at, function, fresh):
    """Hot functions and scans take the place of a part of what is called while they last."""
    function = function.copy()
    for trouble in day["troubles"]:
        if trouble["what"] not in ("hot", "scan"):
            continue
        since = at - day["warm"] - trouble["at"]
        struck = (
            (since >= 0)
            & (since < trouble["lasts"])
            & (rng.uniform(0, 1, len(at)) < trouble["part"])
        )
        count = int(struck.sum())
        if trouble["what"] == "hot":
            few = max(1, int(trouble["size"]))
            function[struck] = fresh + rng.integers(0, few, count)
            fresh += few
        else:
            function[struck] = fresh + np.arange(count)
            fresh += count
    return function


def repeated(rng, day, at):
    """Indices of events that impatient clients send again at once, beside the first."""
    found = [np.empty(0, int)]
    for trouble in day["troubles"]:
        if trouble["what"] == "repeats":
            since = at - day["warm"] - trouble["at"]
            struck = (
                (since >= 0)
                & (since < trouble["lasts"])
                & (rng.uniform(0, 1, len(at)) < trouble["part"])
            )
            found.append(np.flatnonzero(struck))
    return np.concatenate(found)


def function_name(number):
    return f"deed-{number:05d}"
