"""What a lease says of connections and known clients, as admission goes by it."""

from cherrydoor.admission.decide import ClientLimits, KnownClientSettings


def client_limits_of(config):
    """What the doors of the gateway with these figures go by."""
    door, bounds = config.admission, config.bounds
    known = tuple(
        KnownClientSettings(
            one["name"], one["places"], one["most"] or 2 * one["places"], tuple(one["addresses"])
        )
        for one in door["known"]
    )
    return ClientLimits(
        bounds.connections,
        known,
        door["pace"],
        door["burst"],
        door["known_pace"],
        door["handshakes"],
        door["hello"],
        door["unfinished"],
        door["idle"],
        door["stranger_frame"],
        bounds.frame,
        door["stranger_bytes"],
        door["strangers_bytes"],
        door["known_bytes"],
        config.seed,
    )
