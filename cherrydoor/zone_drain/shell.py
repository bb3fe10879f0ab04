"""The service under the name that `cherrydoor.failover.fellows` imports."""

from cherrydoor.zone_drain.service import ZoneDrainService as Sites

__all__ = ["Sites"]
