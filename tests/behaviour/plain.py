"""A canonical form of actions and messages, without class names, field names or texts of constants.

A digest over this form stays the same when classes, fields, functions or constants are renamed,
when a NamedTuple becomes a dataclass, or when a string constant becomes a member of an Enum.
"""

import dataclasses
from collections import Counter
from hashlib import sha256


def values_of(message):
    """Returns the values of a message in the order of its fields."""
    if dataclasses.is_dataclass(message):
        return [getattr(message, field.name) for field in dataclasses.fields(message)]
    if hasattr(message, "__struct_fields__"):
        return [getattr(message, name) for name in message.__struct_fields__]
    return list(message)


class Transcript:
    """Computes one digest of all actions in a history.

    Texts that are not constants are numbered in order of first appearance, so that the digest
    depends only on which of them are equal. A value of any other type raises TypeError, because the
    form must never depend on a repr that contains a name.

    Args:
        kinds: Message class -> number, for every class of message that may occur.
        constants: Constant -> number, for strings that belong to an enumeration.
        entities: Classes whose objects are numbered in order of first appearance.
    """

    def __init__(self, kinds, constants=None, entities=()):
        self.kinds = kinds
        self.constants = constants or {}
        self.entities = tuple(entities)
        self.seen_entities = {}
        self.seen_texts = {}
        self.seen_constants = set()
        self.occurred = Counter()
        self.hash = sha256()

    def plain(self, value):
        """Returns the canonical text of one value."""
        kind = self.kinds.get(type(value))
        if kind is not None:
            self.occurred[type(value)] += 1
            inner = ",".join(self.plain(one) for one in values_of(value))
            return f"{kind}({inner})"
        if self.entities and isinstance(value, self.entities):
            # The reference keeps the object alive, so that no later object gets the same id.
            number, _ = self.seen_entities.setdefault(id(value), (len(self.seen_entities), value))
            return f"object{number}"
        if value is None or isinstance(value, bool | bytes):
            return repr(value)
        if self.is_text(value):
            if value in self.constants:
                self.seen_constants.add(value)
                return f"constant{self.constants[value]}"
            return f"text{self.seen_texts.setdefault(value, len(self.seen_texts))}"
        if isinstance(value, int | float):
            return repr(value)
        if isinstance(value, dict):
            return (
                "{" + ",".join(f"{self.plain(k)}:{self.plain(v)}" for k, v in value.items()) + "}"
            )
        if isinstance(value, list | tuple):
            return "[" + ",".join(self.plain(one) for one in value) + "]"
        raise TypeError(f"no canonical form for {type(value)}")

    @staticmethod
    def is_text(value):
        """Returns whether the value is a text or a member of an Enum."""
        return isinstance(value, str) or hasattr(type(value), "__members__")

    def add(self, now, *values):
        """Adds the values that were decided at this time to the digest."""
        line = f"{now!r} " + " ".join(self.plain(value) for value in values) + "\n"
        self.hash.update(line.encode())

    def digest(self):
        return self.hash.hexdigest()

    def missing(self, classes):
        """Returns those of the given classes that have not occurred."""
        return [one for one in classes if not self.occurred[one]]
