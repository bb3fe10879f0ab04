"""The seeded histories whose decisions are recorded: their seeds and parameters."""

import names as n
from dispatcher_world import Story as DispatcherStory
from module_world import Story

PLAIN = n.request_class("plain", 400.0, 3000.0)
KEYED_ALL = n.request_class("keyed-all", 400.0, 4000.0, n.KEYED, "all", 3000.0)
KEYED_ZONE = n.request_class("keyed-zone", 400.0, 4000.0, n.KEYED, "zone", 3000.0)
KEYED_CELL = n.request_class("keyed-cell", 600.0, 4000.0, n.KEYED, "cell", 1500.0)
ONCE = n.request_class("once", 400.0, 3000.0, n.AT_MOST_ONCE)
STREAM = n.request_class("stream", 500.0, 2000.0, stream=True)
EVERY_CLASS = (PLAIN, KEYED_ALL, KEYED_ZONE, KEYED_CELL, ONCE, STREAM)
TENANTS = (n.tenant("large", 400.0), n.tenant("middle", 100.0), n.tenant("small", 5.0))


def story(switches, **said):
    return Story((0, switches.pop("gateways", 2), 1, EVERY_CLASS, switches), **said)


STORIES = {
    "hosts replaced, lists late and by changes": (
        11,
        story({"quota": (5.0, 0.2, 2000.0)}, faults=0.6, changes=1.5, whole_lists=0.1),
    ),
    "a cold fleet that falls under load": (
        12,
        story(
            {
                "cold_from": 0.05,
                "cold": 20000.0,
                "fall_multiple": 2.0,
                "fall": 3000.0,
                "linger": 3000.0,
            },
            faults=1.0,
            changes=4.0,
            capacity=8,
            hosts=16,
            cold_hosts=0.8,
        ),
    ),
    "many gateways, answers tell neither copies nor crowds": (
        13,
        story(
            {"gateways": 200, "tells_copy": False, "tells_crowd": False},
            told=True,
            per_second=80.0,
            functions=12,
        ),
    ),
    "overload by tenants of unlike shares": (
        14,
        Story(
            (1, 4, 5, EVERY_CLASS, TENANTS, {"launches": 5}),
            per_second=260.0,
            hosts=4,
            length=8000.0,
            capacity=10,
            tenants=("small", "large", "middle", "nobody"),
        ),
    ),
    "a drained zone, functions foreseen": (
        15,
        story(
            {"gateways": 3, "quota": (3.0, 0.05, 1000.0)},
            away=0.4,
            foreseen=4.0,
            zones=3,
            functions=60,
        ),
    ),
    "hosts that answer missing, lists asked for and failed": (
        16,
        story(
            {"misses": True, "asks": True, "twice": True, "linger": 2000.0},
            misses=True,
            failed_lists=0.6,
            whole_lists=1.0,
            told=True,
        ),
    ),
    "neither recalls nor probes nor orders, many unanswered": (
        17,
        story(
            {"recalls": False, "probes": False, "orders": False, "advice": 0.0, "gateways": 1},
            unanswered=0.06,
            errors=0.1,
            faults=1.0,
        ),
    ),
    "many gateways, hedged, many silent hosts": (
        18,
        story(
            {"gateways": 64, "twice": True, "launches": 2},
            faults=2.0,
            hosts=16,
            per_second=150.0,
            length=12000.0,
            unanswered=0.04,
            functions=6,
        ),
    ),
}

DISPATCHER_STORIES = {
    "faults of every kind": (
        21,
        DispatcherStory(
            (0, 2, 3, EVERY_CLASS, {"quota": (5.0, 0.5, 2000.0)}),
            (10.0, 1000, 8, 3, 100.0, 2000.0, 200.0, 2000.0, 400.0),
            hosts=10,
        ),
    ),
    "asked lists, few open requests, overload": (
        22,
        DispatcherStory(
            (
                0,
                2,
                4,
                EVERY_CLASS,
                {
                    "asks": True,
                    "cold_from": 0.3,
                    "cold": 4000.0,
                    "fall_multiple": 3.0,
                    "fall": 2000.0,
                },
            ),
            (20.0, 15, 4, 2, 50.0, 1000.0, 100.0, 1000.0, 200.0),
            per_second=200.0,
            hosts=3,
            length=10000.0,
            drains_at=9000.0,
            unanswered=0.03,
            failed=0.01,
        ),
    ),
}
