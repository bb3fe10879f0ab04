"""Gauges of admission for metrics."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cherrydoor.admission.controller import AdmissionController


def gauges_of(controller: AdmissionController) -> Iterator[tuple[str, float]]:
    """Yields the current state of a controller, as (name, value)."""
    yield "load shedding step", controller.load_shedding.step
    yield "connection slots: common", controller.connection_slots.common
    yield "connection slots: common in use", controller.connection_slots.common_used()
    yield "pending connections", len(controller.pending.slots)
    yield "unidentified connections", len(controller.pending.unidentified)
    yield "read level", controller.fair_reading.level or 0
    yield "network prefixes", len(controller.networks)
    yield "held bytes", controller.all_clients.held_bytes
    yield "held bytes limit", controller.all_clients.held_bytes_limit
    yield "memory baseline percent", round(100 * controller.memory.baseline.base)
    for client in controller.known_clients.by_name.values():
        yield f"connection slots of {client.name}", len(client.admitted)
