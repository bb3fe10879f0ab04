"""Reads scenario files (`.day`) and derives from a scenario what the run needs.

That is: the specifications of hosts, the configuration of each gateway, the addresses and key files
of clients, and the terms by which the audit judges the run.
"""

from pathlib import Path

from cherrydoor.config.figures import bare, read_file
from cherrydoor.config.records import Problem, Problems

SHIPPED = Path(__file__).parent / "days"


def scenario_path(name):
    """Returns the path of the shipped scenario of that name; without one, `name` is the path."""
    shipped = SHIPPED / f"{name}.day"
    return shipped if shipped.exists() else Path(name)


def read_day(name, **changes):
    """Reads a scenario, given by shipped name or by path; returns its values, times in ms.

    `changes` replace top-level values such as the seed, except those that are None. Raises
    Problems if the file is not a valid scenario.
    """
    path = scenario_path(name)
    scenario = bare(read_file(path, "#Day", "scenario.schema"))
    scenario.update({key: value for key, value in changes.items() if value is not None})
    problems = [
        Problem(
            str(path),
            1,
            1,
            f"troubles.{index}.at",
            f"less than the scenario's length of {scenario['length'] / 1000:g} s",
            f"{fault['at'] / 1000:g} s",
        )
        for index, fault in enumerate(scenario["troubles"])
        if fault["at"] >= scenario["length"]
    ]
    request_classes = ["", *(event["name"] for event in scenario["events"])]
    problems += [
        Problem(
            str(path),
            1,
            1,
            f"troubles.{index}.event",
            "the name of an event of the scenario",
            fault["event"],
        )
        for index, fault in enumerate(scenario["troubles"])
        if fault["event"] not in request_classes
    ]
    problems += [
        Problem(
            str(path),
            1,
            1,
            f"troubles.{index}.floor",
            f"one of {len(scenario['fleet']['floors'])} floors",
            "a higher number",
        )
        for index, fault in enumerate(scenario["troubles"])
        if fault["floor"] >= len(scenario["fleet"]["floors"])
    ]
    if problems:
        raise Problems(problems)
    return scenario


def host_specs(day):
    """Returns the specification of each host by number: kinds by their share, floors in turn."""
    if "builds" in day:  # a scenario of the simulator has each host's specification
        return day["builds"]
    fleet, cold, specs = day["fleet"], day["cold"], []
    total_share = sum(kind["share"] for kind in fleet["kinds"])
    due_hosts = [0.0] * len(fleet["kinds"])
    for number in range(fleet["hosts"]):
        due_hosts = [
            due + kind["share"] / total_share
            for due, kind in zip(due_hosts, fleet["kinds"], strict=True)
        ]
        kind_index = due_hosts.index(max(due_hosts))
        due_hosts[kind_index] -= 1
        kind, zones = fleet["kinds"][kind_index], fleet["floors"]
        specs.append(
            dict(
                cores=kind["cores"],
                speed=kind["speed"],
                memory=kind["memory"],
                queue=fleet["queue"],
                loads=fleet["loads"],
                keep=fleet["keep"],
                eager=fleet["eager"],
                disk=fleet["disk"],
                cold_from=cold["from"],
                cold=cold["time"],
                multiple=cold["multiple"],
                fall=cold["fall"],
                report=fleet["report"],
                noise=fleet["noise"],
                **{
                    key: fleet[key]
                    for key in (
                        "tells_held",
                        "tells_queue",
                        "tells_tied",
                        "tells_copy",
                        "tells_crowd",
                    )
                },
                error_rate=fleet["error_rate"],
                load_fail=fleet["load_fail"],
                misses=fleet["misses"],
                remember=max((event["memory"] for event in day["events"]), default=0.0),
                zone=zones[number % len(zones)],
                cell=number // len(zones) // fleet["cells"],
            )
        )
    return specs


def peer_settings(day, number, folder, peer_addresses):
    """Returns a gateway's configuration sections on peers and leases; {} without peers.

    peer_addresses: for each gateway number, the address at which it listens for peers and the one
    at which peers reach it.
    """
    peers = day.get("fellows") or {}
    if not peers.get("keepers"):
        return {}
    return {
        "peers": {
            "door": peer_addresses[number][0],
            "at": peer_addresses[number][1],
            "next": peers["next"],
            "keepers": [
                {"name": f"g{voter}", "at": peer_addresses[voter][1]}
                for voter in range(peers["keepers"])
            ],
            "beat": duration(min(200.0, peers["silent"] / 4)),
            "silent": duration(peers["silent"]),
            "control": str(folder / f"g{number}.control"),
        },
        "tenures": {
            "promises": str(folder / f"g{number}.promises"),
            "term": duration(peers["term"]),
            "margin": duration(peers["term"] / 20),
            "longest": duration(1.25 * peers["term"]),
        },
    }


def lease_values(day, number, address, list_address, folder, feed_address="", peer_addresses=None):
    """Returns the configuration of one gateway as plain values."""
    allowed, zones = day["may"], day["fleet"]["floors"]
    return {
        "name": f"g{number}",
        "number": number,
        "gateways": day["gateways"]["count"],
        "seed": day["seed"] * 1000 + number,
        "zone": zones[number % len(zones)],
        "door": address,
        "list": list_address,
        "asks": allowed["asks"],
        "saved": str(folder / f"g{number}.hosts"),
        "clauses": [
            {key: event[key] for key in ("name", "kind", "stream", "benefit")}
            | {key: duration(event[key]) for key in ("target", "max_age", "memory")}
            | ({"group": event["group"]} if event["kind"] == "keyed" else {})
            for event in day["events"]
        ],
        "parties": [
            {"name": office["name"], "per_second": office["per_second"]}
            for office in day["offices"]
            if office["per_second"]
        ],
        "cold": {
            "from": day["cold"]["from"],
            "time": duration(day["cold"]["time"]),
            "multiple": day["cold"]["multiple"],
            "fall": duration(day["cold"]["fall"]),
        },
        "ration": {
            "free": day["ration"]["free"],
            "share": day["ration"]["share"],
            "within": duration(day["ration"]["within"]),
        },
        "may": {key: allowed[key] for key in ("launches", "twice", "recall", "probe", "order")}
        | {"advice": duration(allowed["advice"])},
        "bounds": {"spare": duration(day["spare"])} | connection_settings(day)[0],
        **connection_settings(day)[1],
        **tls_settings(day, number, folder),
        **(
            {
                "releases": {
                    "feed": feed_address,
                    "saved": str(folder / f"g{number}.releases"),
                    "control": str(folder / f"g{number}.sock"),
                }
            }
            if feed_address
            else {}
        ),
        **peer_settings(day, number, folder, peer_addresses),
        "tells": {
            "copy": day["fleet"].get("tells_copy", True),
            "crowd": day["fleet"].get("tells_crowd", True),
        },
        "linger": duration(day["linger"]),
        "misses": day["fleet"]["misses"],
    }


def address_of(day, office):
    """Returns the source address of an office's connections, for scenarios with known clients."""
    return f"127.200.{1 + [other['name'] for other in day['offices']].index(office)}.1"


def connection_settings(day):
    """Returns two parts of a configuration: values for `bounds` and the section on known clients.

    Both are {} if the scenario has no known clients.
    """
    settings = day.get("doors") or {}
    if not settings.get("known"):
        return {}, {}
    return {"connections": settings["places"]}, {
        "admission": {
            "known": [
                {
                    "name": office["name"],
                    "places": settings["known"],
                    "most": 2 * settings["known"],
                    "addresses": [address_of(day, office["name"]) + "/32"],
                }
                for office in day["offices"]
            ]
        }
    }


def tls_settings(day, number, folder):
    """Returns the configuration's section on TLS keys; {} if the scenario doesn't use TLS."""
    settings = day.get("doors") or {}
    if not settings.get("tls"):
        return {}
    keys = folder / "keys"
    return {
        "keys": {
            "certificate": str(keys / f"g{number}.pem"),
            "key": str(keys / f"g{number}.key"),
            "authorities": str(keys / "authorities.pem"),
            "revoked": str(keys / "revoked.pem"),
            "look": duration(200.0),
            "standing": duration(settings["standing"]),
        }
    }


def client_keys(day, office, folder):
    """Returns the key files of an office's TLS connections; {} if the scenario doesn't use TLS."""
    if not (day.get("doors") or {}).get("tls"):
        return {}
    keys = folder / "keys"
    return {
        "authorities": str(keys / "authorities.pem"),
        "certificate": str(keys / f"{office}.pem"),
        "key": str(keys / f"{office}.key"),
    }


def duration(value_ms):
    """Returns the time as a value that is written with its unit in a configuration."""
    from cherrydoor.config.records import Duration

    return Duration(value_ms)


def terms(day):
    """Returns what the audit judges by: the rules' figures, not how gateways keep the rules."""
    return {
        "name": day["name"],
        "seed": day["seed"],
        "length": day["length"],
        "warm": day["warm"],
        "grace": day["grace"],
        "spare": day["spare"],
        "cold": day["cold"],
        "twice": day["may"]["twice"],
        "ration": day["ration"],
        "decides": day["gateways"]["decides"],
        "events": {
            event["name"]: {
                key: event[key]
                for key in ("target", "max_age", "kind", "group", "memory", "stream", "benefit")
            }
            for event in day["events"]
        },
        "offices": {office["name"]: office for office in day["offices"]},
        "builds": {key: day["cold"][key] for key in ("from", "time", "multiple", "fall")},
    }
