"""The limits of admission, from a gateway's configuration."""

from typing import Any

from cherrydoor.admission.limits import ClientLimits, KnownClientSettings


def client_limits_of(config: Any) -> ClientLimits:
    """What admission goes by at the gateway with this GatewayConfig."""
    settings = config.admission
    known = tuple(
        KnownClientSettings(
            name=one["name"],
            reserved_slots=one["places"],
            slot_limit=one["most"] or 2 * one["places"],
            addresses=tuple(one["addresses"]),
        )
        for one in settings["known"]
    )
    return ClientLimits(
        connection_slots=config.bounds.connections,
        known=known,
        connection_rate=settings["pace"],
        connection_burst=settings["burst"],
        known_client_rate=settings["known_pace"],
        handshake_rate=settings["handshakes"],
        hello_timeout_ms=settings["hello"],
        frame_timeout_ms=settings["unfinished"],
        idle_ms=settings["idle"],
        unknown_frame_bytes=settings["stranger_frame"],
        known_frame_bytes=config.bounds.frame,
        stranger_bytes=settings["stranger_bytes"],
        unknown_clients_bytes=settings["strangers_bytes"],
        known_client_bytes=settings["known_bytes"],
        seed=config.seed,
    )
