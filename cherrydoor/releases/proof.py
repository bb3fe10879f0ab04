"""Former name of `sequential_analysis.py`, which pyproject.toml still lists as a pure module."""

from cherrydoor.releases.sequential_analysis import FailureCount as Count
from cherrydoor.releases.sequential_analysis import confidence_bounds as bounds
from cherrydoor.releases.sequential_analysis import evidence_to_carry as carry
from cherrydoor.releases.sequential_analysis import is_no_worse as no_worse
from cherrydoor.releases.sequential_analysis import is_worse as worse

__all__ = ["Count", "bounds", "carry", "no_worse", "worse"]
