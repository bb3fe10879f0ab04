"""Typed records in a CUE-like language, and the gateway configurations written in it.

`read` parses and validates text, `show` formats values as text, and `Problems` is the error that
lists everything wrong with a file.
"""

from cherrydoor.config.records import Problem, Problems, read
from cherrydoor.config.show import show

__all__ = ["Problem", "Problems", "read", "show"]
