"""The terms that constrain a field: values, types, bounds, records, lists and disjunctions."""

import json

from lark import Tree

UNITS = {
    "us": ("duration", 0.001),
    "ms": ("duration", 1.0),
    "s": ("duration", 1e3),
    "m": ("duration", 6e4),
    "h": ("duration", 3.6e6),
    "d": ("duration", 8.64e7),
    "B": ("size", 1),
    "kB": ("size", 10**3),
    "MB": ("size", 10**6),
    "GB": ("size", 10**9),
    "KiB": ("size", 2**10),
    "MiB": ("size", 2**20),
    "GiB": ("size", 2**30),
    "%": ("number", 0.01),
}
TYPES = ("number", "int", "string", "bool", "duration", "size", "null")


class Duration(float):
    """A duration in ms, which `show` formats with its unit."""


class Size(int):
    """A size in bytes, which `show` formats with its unit."""


class Scalar:
    """A string, number, duration, size, boolean or null, with its position and its text."""

    def __init__(self, kind, value, position, text):
        self.kind, self.value, self.position, self.text = kind, value, position, text

    def equals(self, other):
        """Returns whether two scalars are equal; an int may equal a number."""
        return self.value == other.value and (
            self.kind == other.kind or {self.kind, other.kind} == {"int", "number"}
        )


class Type:
    """A type as a constraint on a scalar; "number" also accepts integers."""

    def __init__(self, kind, position):
        self.kind, self.position, self.text = kind, position, kind

    def accepts(self, scalar):
        """Returns whether a scalar satisfies this constraint."""
        return scalar.kind == self.kind or self.kind == "number" and scalar.kind == "int"


class Bound:
    """A comparison with a limit as a constraint on a scalar, such as `>=0`."""

    def __init__(self, operator, limit, position):
        self.operator, self.limit, self.position, self.text = (
            operator,
            limit,
            position,
            operator + limit.text,
        )

    def accepts(self, scalar):
        """Returns whether a scalar satisfies this constraint; only `!=` accepts other types."""
        found_value, limit_value, operator = scalar.value, self.limit.value, self.operator
        if operator == "!=":
            return not scalar.equals(self.limit)
        is_comparable = scalar.kind == self.limit.kind or {scalar.kind, self.limit.kind} == {
            "int",
            "number",
        }
        if not is_comparable or isinstance(found_value, bool) or found_value is None:
            return False
        return {
            ">": found_value > limit_value,
            ">=": found_value >= limit_value,
            "<": found_value < limit_value,
            "<=": found_value <= limit_value,
        }[operator]


class StructLiteral:
    """A record literal as one term of a field.

    A closed one rejects fields that it does not name.
    """

    def __init__(self, tree, env, closed, position):
        self.tree, self.env, self.closed, self.position, self.text = (
            tree,
            env,
            closed,
            position,
            "a record",
        )
        self.fields, self.patterns, self.open = {}, [], False
        for member in tree.children:
            if member.data == "rest":
                self.open = True
            elif member.data == "pattern":
                self.patterns.append(member.children[1])
            else:
                name = label(member.children[0])
                self.fields.setdefault(name, []).append(
                    (member.data == "field", member.children[1], member)
                )

    def allows(self, name):
        """Returns whether the record may have a field of this name."""
        return not self.closed or self.open or name in self.fields or bool(self.patterns)


class ListLiteral:
    """A list literal as one term of a field.

    `rest` is the expression for further items, None if there may be none.
    """

    def __init__(self, tree, env, position):
        self.env, self.position, self.text = env, position, "a list"
        self.items = [c for c in tree.children if not (isinstance(c, Tree) and c.data == "more")]
        rest = [c for c in tree.children if isinstance(c, Tree) and c.data == "more"]
        self.rest = rest[0].children[0] if rest else None


class Disjunction:
    """A choice between several options, each a pair: whether it is the default, and its tree."""

    def __init__(self, options, env, position):
        self.options, self.env, self.position = options, env, position
        self.text = "one of several"


class Env:
    """The scope in which names are resolved: a node and the enclosing scope.

    It is closed within a definition.
    """

    def __init__(self, node, outer, closed):
        self.node, self.outer, self.closed = node, outer, closed


def label(tree):
    """Returns the name of a field; it may be quoted in the text."""
    token = tree.children[0]
    return json.loads(token) if token.type == "STRING" else str(token)


def scalar_of(token):
    """Returns the scalar that a token of the file denotes."""
    text, position = str(token), (token.line, token.column)
    if token.type == "STRING":
        return Scalar("string", json.loads(text), position, text)
    if token.type == "QUANTITY":
        number = text.rstrip("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ%")
        kind, factor = UNITS[text[len(number) :]]
        value = float(number) * factor
        return Scalar(kind, round(value, 9) if kind != "size" else int(value), position, text)
    if token.type == "NUMBER":
        is_integer = all(c in "-0123456789" for c in text)
        return Scalar(
            "int" if is_integer else "number",
            int(text[:400]) if is_integer else float(text),
            position,
            text[:40],
        )
    return {
        "TRUE": Scalar("bool", True, position, text),
        "FALSE": Scalar("bool", False, position, text),
    }.get(token.type, Scalar("null", None, position, text))
