"""Draws the arrivals of a scenario from its seed before it starts.

The load is an open loop: arrivals don't wait for responses. The same seed gives the same arrivals.
"""

import numpy as np


class Arrivals:
    """All arrivals of a scenario as lists of equal length, sorted by time.

    Attributes:
        at_ms: Time of arrival, ms from the start.
        function: Number of the function that is called.
        request_class: Index of the request class.
        tenant: Index of the tenant.
        gateway: Number of the gateway that receives the request.
        patience: Share of the maximum age after which the client gives up an attempt.
        withdraw_after_ms: Time after which the client withdraws the request; 0 for never.
        extra: True for a duplicate that an impatient client sends 30 ms after the first request.
        count: Number of arrivals.
    """

    def __init__(self, **columns):
        order = np.argsort(columns["at_ms"], kind="stable")
        for name, column in columns.items():
            setattr(self, name, np.asarray(column)[order].tolist())

        self.count = len(order)


def rate_at(day, times_ms):
    """Returns the arrivals per second at each time, with bursts but no other faults."""
    clients, total_ms = day["clients"], day["length"] + day["warm"]
    per_second = np.full(len(times_ms), float(clients["per_second"]))
    if clients["shape"] == "wave":
        per_second *= 1 + clients["swing"] * np.sin(2 * np.pi * times_ms / (total_ms / 2))
    for fault in day["troubles"]:
        if fault["what"] == "burst":
            elapsed_ms = times_ms - fault["at"] - day["warm"]
            ramp = np.clip(elapsed_ms / 500, 0, 1) * np.clip(
                (fault["lasts"] - elapsed_ms) / 500, 0, 1
            )
            per_second *= 1 + (fault["size"] - 1) * ramp
    return per_second


def draw_times(rng, day, margin=1.0):
    """Draws arrival times (ms) by thinning a Poisson process.

    In the bursty shape arrivals come in batches, 4 on average, at the same mean rate.
    """
    total_ms = day["length"] + day["warm"]
    grid_ms = np.arange(0.0, total_ms, 10.0)
    peak_per_second = rate_at(day, grid_ms).max() * 1.01 + margin
    batch = 4 if day["clients"]["shape"] == "bursty" else 1
    count = rng.poisson(peak_per_second * total_ms / 1000 / batch)
    at_ms = np.sort(rng.uniform(0, total_ms, count))
    at_ms = at_ms[rng.uniform(0, peak_per_second, count) < rate_at(day, at_ms)]
    if batch > 1:
        at_ms = np.repeat(at_ms, rng.poisson(batch, len(at_ms)))
        at_ms = np.sort(np.minimum(at_ms + rng.exponential(8.0, len(at_ms)), total_ms - 0.001))
    return at_ms


def draw_functions(rng, day, at_ms):
    """Draws each arrival's function by Zipf popularity; returns them and the next unused number.

    After each spell, a share (`turning`) of the popularity ranks passes to new functions.
    """
    functions = day["functions"]
    ranks = functions["count"]
    weight = 1 / (np.arange(ranks) + 2.0) ** functions["zipf"]
    cumulative = np.cumsum(weight / weight.sum())
    rank = np.minimum(np.searchsorted(cumulative, rng.uniform(0, 1, len(at_ms))), ranks - 1)
    spell_count = int((day["length"] + day["warm"]) // functions["spell"]) + 1
    number_of_rank, next_number = np.arange(ranks), ranks
    chosen = np.empty(len(at_ms), dtype=np.int64)
    spell = (at_ms // functions["spell"]).astype(int)
    for spell_index in range(spell_count):
        if spell_index:
            replaced = rng.uniform(0, 1, ranks) < functions["turning"]
            number_of_rank = np.where(
                replaced, np.arange(next_number, next_number + ranks), number_of_rank
            )
            next_number += ranks
        in_spell = spell == spell_index
        chosen[in_spell] = number_of_rank[rank[in_spell]]
    return chosen, next_number


def draw_timer_calls(rng, day, first_number):
    """Draws the calls of functions called by timers at a fixed period, each through one gateway.

    Returns times (ms), functions and gateways. Functions are numbered from `first_number`.
    """
    functions, total_ms = day["functions"], day["length"] + day["warm"]
    per_second = day["clients"]["per_second"] * functions["timed"]
    count = int(round(per_second * functions["period"] / 1000))
    at_ms, function, gateway = [np.empty(0)], [np.empty(0, int)], [np.empty(0, int)]
    for index in range(count):
        period = functions["period"] * rng.uniform(0.8, 1.2)
        times_ms = np.arange(rng.uniform(0, period), total_ms, period)
        at_ms.append(times_ms)
        function.append(np.full(len(times_ms), first_number + index))
        gateway.append(np.full(len(times_ms), rng.integers(day["gateways"]["count"])))
    return np.concatenate(at_ms), np.concatenate(function), np.concatenate(gateway)


def draw_arrivals(day):
    """Draws all arrivals of a scenario.

    Each property has its own random stream, so an added fault doesn't change the other arrivals.
    """
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
    at_ms = draw_times(streams["times"], day)
    function, next_number = draw_functions(streams["functions"], day, at_ms)
    timer_at_ms, timer_function, timer_gateway = draw_timer_calls(
        streams["timers"], day, next_number
    )
    next_number += len(timer_at_ms) + 1
    gateways = day["gateways"]["count"]
    gateway_weights = streams["gateways"].lognormal(0, day["clients"]["uneven"], gateways)
    gateway = streams["gateways"].choice(
        gateways, len(at_ms), p=gateway_weights / gateway_weights.sum()
    )
    function = apply_function_faults(streams["troubles"], day, at_ms, function, next_number)
    repeated = repeated_requests(streams["troubles"], day, at_ms)
    at_ms = np.concatenate([at_ms, timer_at_ms, at_ms[repeated] + 30.0])
    function = np.concatenate([function, timer_function, function[repeated]])
    gateway = np.concatenate([gateway, timer_gateway, gateway[repeated]])
    extra = np.zeros(len(at_ms), bool)
    extra[len(at_ms) - len(repeated) :] = True
    class_shares = np.array([event["share"] for event in day["events"]], float)
    office_shares = np.array([office["share"] for office in day["offices"]] or [1.0], float)
    request_class = streams["clauses"].choice(
        len(class_shares), len(at_ms), p=class_shares / class_shares.sum()
    )
    if day["functions"]["typed"]:
        request_class = np.searchsorted(
            np.cumsum(class_shares / class_shares.sum()),
            (function * 6271 + 7) % 1000 / 1000,
            side="right",
        )
    office_draw = (function * 7919 + 13) % 1000 / 1000  # each function belongs to one office
    tenant = np.searchsorted(
        np.cumsum(office_shares / office_shares.sum()), office_draw, side="right"
    ).clip(0, len(office_shares) - 1)
    least_patience = day["clients"]["try_share"]
    patience = (
        streams["patience"].uniform(least_patience, 1.0, len(at_ms))
        if least_patience < 1
        else np.ones(len(at_ms))
    )
    withdraw_after_ms = np.where(
        streams["patience"].uniform(0, 1, len(at_ms)) < day["clients"]["impatient"],
        streams["patience"].uniform(20, 600, len(at_ms)),
        0.0,
    )
    return Arrivals(
        at_ms=at_ms,
        function=function,
        request_class=request_class,
        tenant=tenant,
        gateway=gateway,
        patience=patience,
        withdraw_after_ms=withdraw_after_ms,
        extra=extra,
    )


def apply_function_faults(rng, day, at_ms, function, next_number):
    """Replaces the functions of a share of the arrivals during hot and scan faults.

    A hot fault replaces them by a few functions, a scan by a different function each.
    """
    function = function.copy()
    for fault in day["troubles"]:
        if fault["what"] not in ("hot", "scan"):
            continue
        elapsed_ms = at_ms - day["warm"] - fault["at"]
        affected = (
            (elapsed_ms >= 0)
            & (elapsed_ms < fault["lasts"])
            & (rng.uniform(0, 1, len(at_ms)) < fault["part"])
        )
        count = int(affected.sum())
        if fault["what"] == "hot":
            hot_count = max(1, int(fault["size"]))
            function[affected] = next_number + rng.integers(0, hot_count, count)
            next_number += hot_count
        else:
            function[affected] = next_number + np.arange(count)
            next_number += count
    return function


def repeated_requests(rng, day, at_ms):
    """Returns the indices of arrivals that clients send twice without waiting for a response."""
    indices = [np.empty(0, int)]
    for fault in day["troubles"]:
        if fault["what"] == "repeats":
            elapsed_ms = at_ms - day["warm"] - fault["at"]
            affected = (
                (elapsed_ms >= 0)
                & (elapsed_ms < fault["lasts"])
                & (rng.uniform(0, 1, len(at_ms)) < fault["part"])
            )
            indices.append(np.flatnonzero(affected))
    return np.concatenate(indices)


def function_name(number):
    return f"deed-{number:05d}"
