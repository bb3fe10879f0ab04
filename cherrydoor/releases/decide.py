"""Names under which other packages import the rollout controller and its messages."""

from cherrydoor.releases.controller import RolloutController as Versions
from cherrydoor.releases.messages import AttemptEnded as Ended
from cherrydoor.releases.messages import LoadEnded as Loaded
from cherrydoor.releases.messages import ReleaseState
from cherrydoor.releases.release import TRAFFIC_SHARES as SHARES

ANNOUNCED = ReleaseState.ANNOUNCED
TRIAL = ReleaseState.CANARY

__all__ = ["ANNOUNCED", "SHARES", "TRIAL", "Ended", "Loaded", "Versions"]
