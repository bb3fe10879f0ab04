"""Converts scenarios of the users' simulator: fleet, traffic and faults, scaled in size and time.

Features of the simulator that the fake hosts lack are left out: network jitter, waiting for other
systems, thrashing, connection limits and weights. Times in the simulator's files are in
microseconds.
"""

import json
from pathlib import Path

from cherrydoor.config.records import Problem, Problems

# The name of a fault in a scenario, by its kind in the simulator.
FAULT_OF_KIND = {
    "deploy": "deploy",
    "report_late": "late-reports",
    "crash": "crash",
    "slow": "slow",
    "pauses": "pauses",
    "burst": "burst",
    "hot_key": "hot",
    "zone_loss": "floor-loss",
    "balancer_crash": "gateway-crash",
    "balancer_stall": "gateway-stall",
    "origin_slow": "slow-store",
    "flush": "flush",
    "scan": "scan",
    "answer_lost": "lost-answers",
    "retry_abuse": "repeats",
    "ageing": "ageing",
    "mass_restart": "rack-restart",
    "preempt": "take-away",
}
# The kind of an event in a scenario, by its effect in the simulator.
KIND_OF_EFFECT = {"safe": "redeliverable", "keyed": "keyed", "unsafe": "at-most-once"}


def bench_day(path, size=1.0, speed=1.0):
    """Reads a scenario of the simulator; returns its values as read_day does, and what is left out.

    Args:
        path: The simulator's JSON file.
        size: Share of the hosts, gateways and traffic, above 0 and up to 1.
        speed: Speed relative to real time. At 0.5 all times are twice as long and all rates half.

    Raises:
        Problems: If the file can't be read or is not a scenario of the simulator.
    """
    try:
        simulated = json.loads(Path(path).read_text())
        return convert(simulated, size, speed)
    except (OSError, ValueError, UnicodeDecodeError) as error:
        raise Problems(
            [Problem(str(path), 1, 1, "", "a scenario written by the simulator", str(error))]
        ) from None
    except (KeyError, IndexError, TypeError) as error:
        raise Problems(
            [
                Problem(
                    str(path),
                    1,
                    1,
                    str(error),
                    "a scenario written by the simulator",
                    f"{type(error).__name__}",
                )
            ]
        ) from None


def convert(simulated, size, speed):
    """Converts the values of a simulator's file; see bench_day."""

    def ms(time_us):
        return float(time_us) / 1000 / speed

    tier, family, clients, discovery = (
        simulated["tiers"][0],
        simulated["fam"],
        simulated["clients"],
        simulated["discovery"],
    )
    host_kinds, zones = tier["kinds"], simulated["zones"]
    servers_up = [server for server in simulated["servers"] if server["up"]]
    host_count = max(len(zones), round(len(servers_up) * size))
    gateway_count = max(1, round(len(simulated["balancers"]) * size))
    servers = servers_up[:host_count]
    host_specs = [
        dict(
            cores=host_kinds[server["kind"]]["cores"],
            speed=server["speed"] * speed,
            memory=family["memory"][server["kind"]],
            queue=host_kinds[server["kind"]]["slots"] + host_kinds[server["kind"]]["queue"],
            loads=family["loads_at_once"],
            keep=ms(family["keep"]),
            eager=bool(family["self_load"]),
            disk=family["disk"] * family["memory"][server["kind"]],
            cold_from=host_kinds[server["kind"]]["cold_from"],
            cold=ms(host_kinds[server["kind"]]["cold"]),
            multiple=simulated["fall_multiple"],
            fall=ms(simulated["fall_for"]),
            report=ms(tier["report_period"]),
            late=ms(tier["report_delay"]),
            noise=tier["report_noise"],
            tells_held="inflight" in tier["report_fields"] and tier["report_how"] == "answers",
            error_rate=host_kinds[server["kind"]]["error_rate"],
            load_fail=family["load_fail"],
            misses=not family["self_load"],
            remember=5000.0 / speed,
            zone=zones[server["zone"]],
            cell=server["cell"],
        )
        for server in servers
    ]
    capacity = sum(host["cores"] * host["speed"] for host in host_specs)
    request_classes = simulated["classes"]
    mean_work_ms = (
        sum(request_class["work"] * request_class["share"] for request_class in request_classes)
        / sum(request_class["share"] for request_class in request_classes)
        / 1000
    )
    per_second = simulated["traffic"]["load"] * capacity * 1000 / mean_work_ms
    function_kind = family["sorts"][0]
    total_memory_mb = sum(host["memory"] for host in host_specs)
    function_count = max(
        8, round(family["catalog"] * total_memory_mb / function_kind["memory"] * 0.8)
    )
    load_ms = function_kind["load"] / 1000
    tenants = simulated["tenants"]
    # Assumes that one request in twenty loads a copy; most requests find their function loaded.
    loads_at_once = family["store_headroom"] * per_second * 0.05 * load_ms / 1000
    day = {
        "name": f"{simulated['site']}-{simulated['kind']}",
        "about": f"drawn by the simulator, {size:g} of its size, {speed:g} of real time",
        "seed": int(simulated["noise"]) % 2**31,
        "length": ms(simulated["length"]),
        "warm": 8000.0,
        "grace": ms(simulated["drain_grace"]),
        "spare": 50.0,
        "events": [
            {
                "name": request_class["name"],
                "share": request_class["share"],
                "target": ms(request_class["aim"]),
                "max_age": ms(request_class["deadline"]),
                "kind": KIND_OF_EFFECT[request_class["effect"]],
                "group": request_class["group"],
                "memory": ms(request_class["window"]),
                "stream": request_class["stream"],
                "body": 200,
                "benefit": 1.0,
            }
            for request_class in request_classes
        ],
        "offices": [
            {
                "name": tenant["name"],
                "share": tenant["traffic"],
                "per_second": tenant["quota"] * capacity * 1000 / mean_work_ms,
            }
            for tenant in tenants
        ],
        "fleet": {
            "hosts": host_count,
            "floors": zones,
            "kinds": [],
            "cells": 4,
            "misses": not family["self_load"],
            "tells_copy": bool(family.get("tells_warm", True)),
            "tells_crowd": bool(family.get("tells_crowd", True)),
        },
        "builds": host_specs,
        "cold": {
            "from": tier["stated_cold_from"],
            "time": ms(tier["stated_cold"]),
            "multiple": simulated["fall_multiple"],
            "fall": ms(simulated["fall_for"]),
        },
        "functions": {
            "count": function_count,
            "zipf": family["zipf"],
            "turning": family["turning"],
            "spell": ms(family["spell"]),
            "timed": family["timed"],
            "typed": False,
            "period": ms(family["keep"]),
            "lanes": [function_kind["lanes"]],
            "memory": [function_kind["memory"] * 0.6, function_kind["memory"] * 1.4],
            "load": [load_ms / speed * 0.6, load_ms / speed * 1.4],
            "work": [mean_work_ms * 0.6, mean_work_ms * 1.4],
            "fetch": family["fetch_share"],
            "core": family["start_core"],
        },
        "clients": {
            "per_second": per_second,
            "shape": "steady",
            "swing": 0.0,
            "retries": clients["retries"],
            "wait": ms(clients["backoff_us"]),
            "heed": clients["honour"],
            "try_share": clients["try_share"],
            "impatient": clients["impatient"],
            "uneven": 0.5,
        },
        "gateways": {
            "count": gateway_count,
            "in_a_process": max(1, -(-gateway_count // 6)),
            "decides": "module",
        },
        "store": {
            "at_once": max(2, round(loads_at_once * family["fetch_share"])),
            "takes": max(8, round(family["store_takes"] * loads_at_once)),
        },
        "list": {
            "notice": [max(0.05, ms(discovery["notice"]) / 2000), ms(discovery["notice"]) / 1000],
            "miss": ms(discovery["silent_notice"]),
            "stale": 0.0,
        },
        "may": {
            "launches": simulated["allow"]["max_attempts"],
            "twice": simulated["allow"]["second_copies"],
            "recall": simulated["allow"]["cancel"],
            "probe": simulated["allow"]["probes"],
            "order": family["orders"],
            "advice": ms(clients["max_retry_after"]) if simulated["allow"]["retry_after"] else 0.0,
            "asks": discovery["ask"],
        },
        "ration": {
            "free": family["load_free"],
            "share": family["load_share"],
            "within": ms(family["load_window"])
            if family["load_free"] or family["load_share"]
            else 0.0,
        },
        "linger": ms(family["stated_keep"]),
        "feed": {"gradual": False, "notice": [0.05, 0.5], "misses": 0.0},
        "doors": {"tls": False, "known": 0, "places": 4096, "descriptors": 0, "standing": 20000.0},
        "troubles": [
            fault
            for fault in (
                convert_fault(fault, simulated, host_count, gateway_count, ms)
                for fault in simulated["troubles"]
            )
            if fault
        ],
    }
    left_out = [
        "network jitter and delay",
        "thrashing of hosts that hold too many copies",
        "connection limits",
    ]
    left_out += [
        f"trouble {fault['kind']}"
        for fault in simulated["troubles"]
        if fault["kind"] not in FAULT_OF_KIND
    ]
    return day, left_out


def convert_fault(simulated_fault, simulated, hosts, gateways, ms):
    """Converts one fault; returns None if it has no counterpart, no target or begins too late.

    It affects the hosts or gateways that the simulator names, as far as the scaled fleet has them.
    """
    fault_name = FAULT_OF_KIND.get(simulated_fault["kind"])
    if fault_name is None or ms(simulated_fault["at"]) >= ms(simulated["length"]):
        return None
    size, extra, targets = (
        simulated_fault["size"],
        simulated_fault["extra"],
        list(simulated_fault["on"]),
    )
    fault = {
        "at": ms(simulated_fault["at"]),
        "lasts": max(100.0, ms(simulated_fault["len"])),
        "what": fault_name,
        "part": 0.2,
        "size": 2.0,
        "gateways": False,
        "silent": False,
        "floor": 0,
    }
    if fault_name in ("gateway-crash", "gateway-stall"):
        targets = [number for number in targets if number < gateways]
    elif fault_name == "deploy":
        targets = [number for step in simulated_fault["steps"] for number in step["stop"]]
    targets = [number for number in targets if number < hosts]
    if fault_name in (
        "crash",
        "slow",
        "pauses",
        "lost-answers",
        "ageing",
        "rack-restart",
        "take-away",
        "deploy",
        "gateway-crash",
        "gateway-stall",
    ):
        if not targets:
            return None
        fault["on"] = targets
    if fault_name in ("burst", "slow", "slow-store", "ageing"):
        fault["size"] = max(1.01, size)
    elif fault_name == "pauses":
        fault["size"] = max(0.1, size / 150000)
    elif fault_name == "late-reports":
        fault["size"] = size * ms(1000.0)
    elif fault_name in ("deploy", "take-away"):
        fault["size"] = max(0.2, extra * ms(1000.0))
    elif fault_name == "lost-answers":
        fault["size"] = min(1.0, max(0.05, size))
    elif fault_name in ("flush", "repeats"):
        fault["part"] = min(1.0, max(0.01, size))
    elif fault_name in ("hot", "scan"):
        fault["part"], fault["size"] = min(1.0, max(0.01, size)), max(1.0, extra)
    elif fault_name == "floor-loss":
        fault["floor"], fault["gateways"], fault["silent"] = (
            simulated_fault["which"] % len(simulated["zones"]),
            size > 0.5,
            extra > 0.5,
        )
    return fault
