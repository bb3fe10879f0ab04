"""Makes the limits of admission from a gateway's configuration."""

from typing import Any

from cherrydoor.admission.limits import ClientLimits, KnownClientSettings


def client_limits_of(config: Any) -> ClientLimits:
    """Returns the limits of admission at the gateway with this GatewayConfig."""
    settings = config.admission
    known = tuple(
        KnownClientSettings(
            name=client["name"],
            reserved_slots=client["places"],
            slot_limit=client["most"] or 2 * client["places"],
            addresses=tuple(client["addresses"]),
        )
        for client in settings["known"]
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
