"""CUE-like typed records, and the leases written in them: read(text), show(value), Problems."""

from cherrydoor.config.records import Problem, Problems, read
from cherrydoor.config.show import show

__all__ = ["Problem", "Problems", "read", "show"]
