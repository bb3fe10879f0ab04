"""Tables of drains for operators on the control socket.

The keys of the tables are part of the control socket's interface and must not change.
"""

from typing import Any

from cherrydoor.protocol.zone_drain import DrainWave
from cherrydoor.zone_drain.coordinator import DrainCoordinator
from cherrydoor.zone_drain.neighbour_capacity import ZoneState
from cherrydoor.zone_drain.reported_loads import PlannedDrain
from cherrydoor.zone_drain.session_groups import OTHER_FUNCTIONS
from cherrydoor.zone_drain.wave_plan import WaveStep

OTHER_FUNCTIONS_LABEL = "(rest)"

Table = dict[str, Any]


def function_label(function: str) -> str:
    """Returns the name of a function, or the label for all functions that are not named."""
    return OTHER_FUNCTIONS_LABEL if function == OTHER_FUNCTIONS else function


def coordinator_table(coordinator: DrainCoordinator) -> Table:
    """Returns the table of a drain that this gateway coordinates."""
    record = coordinator.record
    reports = coordinator.observation.reports
    return {
        "site": record.zone,
        "number": record.fencing_token,
        "wave": record.wave,
        "state": coordinator.state,
        "why": record.reason,
        "waves": len(coordinator.progress.waves),
        "known to be borne": coordinator.plan.waves_within_capacity,
        "reached": coordinator.progress.reached,
        "shed": record.shed_functions,
        "room": round(coordinator.plan.capacity_per_s, 1),
        "asked": round(coordinator.plan.demand_per_s, 1),
        "within target before": coordinator.observation.regression.baseline,
        "neighbours standing": round(coordinator.neighbours.available_share(), 2),
        "in hand": reports.in_flight(),
        "in hand by hosts": coordinator.in_flight_check.in_flight(),
        "confirmed": reports.confirmed_count(record.version),
    }


def wave_table(wave: DrainWave) -> Table:
    """Returns the table of a drain's last wave that this gateway knows."""
    return {
        "site": wave.zone,
        "number": wave.fencing_token,
        "wave": wave.wave,
        "conductor": wave.coordinator,
        "state": wave.state,
        "away": [[function_label(one.function), round(one.share, 3)] for one in wave.moved_shares],
        "shed": wave.shed_functions,
        "copies": len(wave.ready_copies),
        "why": wave.reason,
        "step": wave.wave_share,
        "even": wave.allow_shortfall,
    }


def drain_table(zone: str, wave: DrainWave | None, coordinator: DrainCoordinator | None) -> Table:
    """Returns the table of a zone's drain as this gateway knows it."""
    table: Table = {"site": zone}
    table.update(wave_table(wave) if wave else {"state": "not drained"})
    if coordinator is not None:
        table["conductor here"] = coordinator_table(coordinator)
    return table


def zone_table(zone: ZoneState) -> Table:
    """Returns the table of a zone's load and hosts."""
    return {"rate": round(zone.requests_per_s, 1), "busy": zone.utilization, "hosts": zone.hosts}


def step_table(step: WaveStep, priority_weight: float) -> Table:
    """Returns the table of one step of a planned wave."""
    return {
        "function": function_label(step.function),
        "share": round(step.share, 3),
        "opens": step.needs_copy,
        "benefit": priority_weight,
    }


def plan_table(
    zone: str, planned: PlannedDrain, gateways: list[str], zones: dict[str, ZoneState]
) -> Table:
    """Returns the table of a planned drain of the zone."""
    plan = planned.plan
    weights = {group.function: group.priority_weight for group in planned.groups}
    beyond_capacity = plan.waves[plan.waves_within_capacity :]
    return {
        "site": zone,
        "asked": round(plan.demand_per_s, 1),
        "room": round(plan.capacity_per_s, 1),
        "missing": round(plan.shortfall_per_s, 1),
        "refusal": plan.refusal_reason(),
        "beyond": list(dict.fromkeys(step.function for wave in beyond_capacity for step in wave)),
        "told by": gateways,
        "sites": {name: zone_table(one) for name, one in zones.items()},
        "waves": [
            [step_table(step, weights.get(step.function, 1.0)) for step in wave]
            for wave in plan.waves
        ],
    }
