"""What a drain's coordinator wants done: the service carries it out in this order."""

from msgspec import Struct

from cherrydoor.protocol.zone_drain import DrainWave


class PreloadCopy(Struct, frozen=True):
    """A copy of the function is to be loaded outside the zone before its sessions move."""

    function: str


class AnnounceWave(Struct, frozen=True):
    """The wave is to be sent to every gateway."""

    wave: DrainWave


class QueryHost(Struct, frozen=True):
    """A host of the zone is to be asked what it has in flight."""

    host: str


DrainAction = PreloadCopy | AnnounceWave | QueryHost
