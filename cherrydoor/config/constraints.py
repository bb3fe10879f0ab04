"""What may be written for a place: plain values, types, bounds, records, lists, and the choice between several."""

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
    """Ms, read from a text with a unit, so that it can be shown with one."""


class Size(int):
    """Bytes, likewise."""


class Scalar:
    def __init__(self, kind, value, at, text):
        self.kind, self.value, self.at, self.text = kind, value, at, text

    def equals(self, other):
        return self.value == other.value and (
            self.kind == other.kind or {self.kind, other.kind} == {"int", "number"}
        )


class Type:
    def __init__(self, kind, at):
        self.kind, self.at, self.text = kind, at, kind

    def accepts(self, atom):
        return atom.kind == self.kind or self.kind == "number" and atom.kind == "int"


class Bound:
    def __init__(self, op, limit, at):
        self.op, self.limit, self.at, self.text = op, limit, at, op + limit.text

    def accepts(self, atom):
        a, b, op = atom.value, self.limit.value, self.op
        if op == "!=":
            return not atom.equals(self.limit)
        alike = atom.kind == self.limit.kind or {atom.kind, self.limit.kind} == {"int", "number"}
        if not alike or isinstance(a, bool) or a is None:
            return False
        return {">": a > b, ">=": a >= b, "<": a < b, "<=": a <= b}[op]


class StructLiteral:
    """A struct literal as one conjunct of a place."""

    def __init__(self, tree, env, closed, at):
        self.tree, self.env, self.closed, self.at, self.text = tree, env, closed, at, "a record"
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
        return not self.closed or self.open or name in self.fields or bool(self.patterns)


class ListLiteral:
    """A list literal as one conjunct of a place."""

    def __init__(self, tree, env, at):
        self.env, self.at, self.text = env, at, "a list"
        self.items = [c for c in tree.children if not (isinstance(c, Tree) and c.data == "more")]
        more = [c for c in tree.children if isinstance(c, Tree) and c.data == "more"]
        self.more = more[0].children[0] if more else None


class Disjunction:
    def __init__(self, options, env, at):
        self.options, self.env, self.at = options, env, at
        self.text = "one of several"


class Env:
    """Where names are looked up: a place and what encloses it; closed within a definition."""

    def __init__(self, node, outer, closed):
        self.node, self.outer, self.closed = node, outer, closed


def label(tree):
    token = tree.children[0]
    return json.loads(token) if token.type == "STRING" else str(token)


def scalar_of(token):
    text, at = str(token), (token.line, token.column)
    if token.type == "STRING":
        return Scalar("string", json.loads(text), at, text)
    if token.type == "QUANTITY":
        number = text.rstrip("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ%")
        kind, factor = UNITS[text[len(number) :]]
        value = float(number) * factor
        return Scalar(kind, round(value, 9) if kind != "size" else int(value), at, text)
    if token.type == "NUMBER":
        whole = all(c in "-0123456789" for c in text)
        return Scalar(
            "int" if whole else "number", int(text[:400]) if whole else float(text), at, text[:40]
        )
    return {"TRUE": Scalar("bool", True, at, text), "FALSE": Scalar("bool", False, at, text)}.get(
        token.type, Scalar("null", None, at, text)
    )
