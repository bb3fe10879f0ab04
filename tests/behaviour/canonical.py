"""A canonical form of recorded decisions, which does not depend on names, and its digest.

The form contains no class name and no field name. A message becomes the number of its kind and its
values in field order, and a constant of an enumeration becomes a number. The tests provide the
tables of both numbers. So the same decisions give the same digest when classes, fields and
constants are renamed, when a NamedTuple becomes a dataclass, or when a string becomes an Enum.
"""

import dataclasses
import enum
import hashlib
from typing import NamedTuple

import msgspec


class Kind(NamedTuple):
    """The number of a kind of message, and the positions of its special fields."""

    number: int
    free_text: tuple = ()  # omitted: reasons and log texts
    tokens: tuple = ()  # timer tokens: kept if numeric, else numbered by first appearance


def values_of(message):
    """The values of a message in field order, or None if it is not a message."""
    if isinstance(message, msgspec.Struct):
        return [getattr(message, name) for name in message.__struct_fields__]
    if dataclasses.is_dataclass(message):
        return [getattr(message, field.name) for field in dataclasses.fields(message)]
    if isinstance(message, tuple) and hasattr(message, "_fields"):
        return list(message)
    return None


class Canonical:
    """Computes the digest of one history.

    Args:
        kinds: Message class -> its Kind.
        constants: Constant -> its number.
    """

    def __init__(self, kinds, constants):
        self.kinds = kinds
        self.constants = constants
        self.tokens = {}
        self.hash = hashlib.sha256()
        self.counters = dict.fromkeys((kind.number for kind in kinds.values()), 0)

    def add(self, *values):
        self.hash.update(repr(tuple(self.form(value) for value in values)).encode())
        self.hash.update(b"\n")

    def digest(self):
        return self.hash.hexdigest()

    def form(self, value):
        values = values_of(value)
        if values is not None:
            return self.form_of_message(value, values)
        if isinstance(value, enum.Enum):
            return "constant", self.constants[value]
        if isinstance(value, str) and value in self.constants:
            return "constant", self.constants[value]
        if isinstance(value, tuple | list):
            return tuple(self.form(each) for each in value)
        if value is None or isinstance(value, bool | int | float | str | bytes):
            return value
        raise TypeError(f"a value of type {type(value).__name__} has no canonical form")

    def form_of_message(self, message, values):
        kind = self.kinds[type(message)]
        self.counters[kind.number] += 1
        formed = [kind.number]
        for position, value in enumerate(values):
            if position in kind.free_text:
                continue
            if position in kind.tokens:
                formed.append(self.form_of_token(value))
            else:
                formed.append(self.form(value))
        return tuple(formed)

    def form_of_token(self, token):
        if isinstance(token, int) and not isinstance(token, enum.Enum):
            return "number", token
        if isinstance(token, str) and token.isdigit():
            return "number", int(token)
        return "token", self.tokens.setdefault(token, len(self.tokens))
