"""A day as read: what the conductor starts, what the clients send, and the terms that the audit judges by."""

from pathlib import Path

from cherrydoor.config.figures import bare, read_file
from cherrydoor.config.records import Problem, Problems

SHIPPED = Path(__file__).parent / "days"


def find(name):
    """The file of a shipped day by its name, else the path itself."""
    shipped = SHIPPED / f"{name}.day"
    return shipped if shipped.exists() else Path(name)


def read_day(name, **changes):
    """The plain values of a day file. `changes` replace top values, such as seed; Problems where it is wrong."""
    path = find(name)
    said = bare(read_file(path, "#Day", "scenario.schema"))
    said.update({key: value for key, value in changes.items() if value is not None})
    found = [
        Problem(
            str(path),
            1,
            1,
            f"troubles.{i}.at",
            f"less than the day's {said['length'] / 1000:g} s",
            f"{trouble['at'] / 1000:g} s",
        )
        for i, trouble in enumerate(said["troubles"])
        if trouble["at"] >= said["length"]
    ]
    names = ["", *(event["name"] for event in said["events"])]
    found += [
        Problem(
            str(path), 1, 1, f"troubles.{i}.event", "one of the day's event types", trouble["event"]
        )
        for i, trouble in enumerate(said["troubles"])
        if trouble["event"] not in names
    ]
    found += [
        Problem(
            str(path),
            1,
            1,
            f"troubles.{i}.floor",
            f"one of {len(said['fleet']['floors'])} floors",
            "more",
        )
        for i, trouble in enumerate(said["troubles"])
        if trouble["floor"] >= len(said["fleet"]["floors"])
    ]
    if found:
        raise Problems(found)
    return said


def host_specs(day):
    """One build a host, in the order of their numbers: kinds by share, floors in turn."""
    if "builds" in day:  # a day drawn elsewhere says each
        return day["builds"]
    fleet, cold, found = day["fleet"], day["cold"], []
    total = sum(kind["share"] for kind in fleet["kinds"])
    owed = [0.0] * len(fleet["kinds"])
    for i in range(fleet["hosts"]):
        owed = [o + kind["share"] / total for o, kind in zip(owed, fleet["kinds"], strict=True)]
        k = owed.index(max(owed))
        owed[k] -= 1
        kind, floors = fleet["kinds"][k], fleet["floors"]
        found.append(
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
                    k: fleet[k]
                    for k in (
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
                remember=max((e["memory"] for e in day["events"]), default=0.0),
                zone=floors[i % len(floors)],
                cell=i // len(floors) // fleet["cells"],
            )
        )
    return found


def peer_settings(day, number, folder, peer_addresses):
    """What the lease says of peers and tenures; {} where each gateway is alone. peer_addresses: gateway number ->
    (where its door for peers is, where others reach it)."""
    said = day.get("fellows") or {}
    if not said.get("keepers"):
        return {}
    return {
        "peers": {
            "door": peer_addresses[number][0],
            "at": peer_addresses[number][1],
            "next": said["next"],
            "keepers": [
                {"name": f"g{i}", "at": peer_addresses[i][1]} for i in range(said["keepers"])
            ],
            "beat": ms(min(200.0, said["silent"] / 4)),
            "silent": ms(said["silent"]),
            "control": str(folder / f"g{number}.control"),
        },
        "tenures": {
            "promises": str(folder / f"g{number}.promises"),
            "term": ms(said["term"]),
            "margin": ms(said["term"] / 20),
            "longest": ms(1.25 * said["term"]),
        },
    }


def lease_values(day, number, door, listing, folder, feed="", peer_addresses=None):
    """The lease of one gateway of the day, as plain values."""
    may, floors = day["may"], day["fleet"]["floors"]
    return {
        "name": f"g{number}",
        "number": number,
        "gateways": day["gateways"]["count"],
        "seed": day["seed"] * 1000 + number,
        "zone": floors[number % len(floors)],
        "door": door,
        "list": listing,
        "asks": may["asks"],
        "saved": str(folder / f"g{number}.hosts"),
        "clauses": [
            {k: e[k] for k in ("name", "kind", "stream", "benefit")}
            | {k: ms(e[k]) for k in ("target", "max_age", "memory")}
            | ({"group": e["group"]} if e["kind"] == "keyed" else {})
            for e in day["events"]
        ],
        "parties": [
            {"name": o["name"], "per_second": o["per_second"]}
            for o in day["offices"]
            if o["per_second"]
        ],
        "cold": {
            "from": day["cold"]["from"],
            "time": ms(day["cold"]["time"]),
            "multiple": day["cold"]["multiple"],
            "fall": ms(day["cold"]["fall"]),
        },
        "ration": {
            "free": day["ration"]["free"],
            "share": day["ration"]["share"],
            "within": ms(day["ration"]["within"]),
        },
        "may": {k: may[k] for k in ("launches", "twice", "recall", "probe", "order")}
        | {"advice": ms(may["advice"])},
        "bounds": {"spare": ms(day["spare"])} | doors(day)[0],
        **doors(day)[1],
        **keys_of(day, number, folder),
        **(
            {
                "releases": {
                    "feed": feed,
                    "saved": str(folder / f"g{number}.releases"),
                    "control": str(folder / f"g{number}.sock"),
                }
            }
            if feed
            else {}
        ),
        **peer_settings(day, number, folder, peer_addresses),
        "tells": {
            "copy": day["fleet"].get("tells_copy", True),
            "crowd": day["fleet"].get("tells_crowd", True),
        },
        "linger": ms(day["linger"]),
        "misses": day["fleet"]["misses"],
    }


def address_of(day, office):
    """Where an office's connections come from, on days on which offices are known."""
    return f"127.200.{1 + [o['name'] for o in day['offices']].index(office)}.1"


def doors(day):
    """What the lease says of connections and of known clients."""
    said = day.get("doors") or {}
    if not said.get("known"):
        return {}, {}
    return {"connections": said["places"]}, {
        "admission": {
            "known": [
                {
                    "name": o["name"],
                    "places": said["known"],
                    "most": 2 * said["known"],
                    "addresses": [address_of(day, o["name"]) + "/32"],
                }
                for o in day["offices"]
            ]
        }
    }


def keys_of(day, number, folder):
    said = day.get("doors") or {}
    if not said.get("tls"):
        return {}
    keys = folder / "keys"
    return {
        "keys": {
            "certificate": str(keys / f"g{number}.pem"),
            "key": str(keys / f"g{number}.key"),
            "authorities": str(keys / "authorities.pem"),
            "revoked": str(keys / "revoked.pem"),
            "look": ms(200.0),
            "standing": ms(said["standing"]),
        }
    }


def client_keys(day, office, folder):
    """The files by which an office's connections are sealed; {} where they are not."""
    if not (day.get("doors") or {}).get("tls"):
        return {}
    keys = folder / "keys"
    return {
        "authorities": str(keys / "authorities.pem"),
        "certificate": str(keys / f"{office}.pem"),
        "key": str(keys / f"{office}.key"),
    }


def ms(value):
    from cherrydoor.config.records import Duration

    return Duration(value)


def terms(day):
    """What the audit judges by: the rules' figures and nothing of how they are kept."""
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
            e["name"]: {
                k: e[k]
                for k in ("target", "max_age", "kind", "group", "memory", "stream", "benefit")
            }
            for e in day["events"]
        },
        "offices": {o["name"]: o for o in day["offices"]},
        "builds": {k: day["cold"][k] for k in ("from", "time", "multiple", "fall")},
    }
