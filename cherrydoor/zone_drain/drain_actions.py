"""Actions that a drain's coordinator returns; they are executed in the order of the list."""

from msgspec import Struct

from cherrydoor.protocol.zone_drain import DrainWave


class PreloadCopy(Struct, frozen=True):
    """Load a copy of the function outside the zone before its sessions move."""

    function: str


class AnnounceWave(Struct, frozen=True):
    """Send the wave to every gateway."""

    wave: DrainWave


class QueryHost(Struct, frozen=True):
    """Ask a host of the zone for its count of attempts in flight."""

    host: str


DrainAction = PreloadCopy | AnnounceWave | QueryHost
