"""Reads typed records: text to plain values, or every problem found with its place.

What is written several times for one place must agree: types, bounds and values unify, as in CUE. A definition
(#Clause) is closed: it refuses fields it does not name. `*a | b` is b with the default a. Durations come out as ms,
sizes as bytes, shares in percent as fractions. Nothing a file holds can make this loop: nesting, length and steps
are bounded, and a reference cycle is a problem like any other.
"""

import json
from dataclasses import dataclass
from functools import lru_cache
from importlib import resources

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput

LARGEST = 128 * 1024        # characters of a file
MARKS = 8000                # separators, colons, brackets and operators in it, which is what reading it takes
DEEPEST = 40                # brackets within brackets
STEPS = 8000                 # evaluations for one file
MOST = 25                   # problems told
SCHEMA = 10**6              # lines of the schema are counted from here on, to tell them from the file's own

UNITS = {"us": ("duration", 0.001), "ms": ("duration", 1.0), "s": ("duration", 1e3), "m": ("duration", 6e4),
         "h": ("duration", 3.6e6), "d": ("duration", 8.64e7), "B": ("size", 1), "kB": ("size", 10**3),
         "MB": ("size", 10**6), "GB": ("size", 10**9), "KiB": ("size", 2**10), "MiB": ("size", 2**20),
         "GiB": ("size", 2**30), "%": ("number", 0.01)}
TYPES = ("number", "int", "string", "bool", "duration", "size", "null")


@dataclass(frozen=True)
class Problem:
    """One thing wrong: where, what was expected, what was found."""
    file: str
    line: int
    column: int
    path: str
    expected: str
    found: str

    def __str__(self):
        at = f"{self.file}:{self.line}:{self.column}"
        return f"{at}: {self.path + ': ' if self.path else ''}expected {self.expected}, found {self.found}"


class Problems(ValueError):
    """All that is wrong with a file, in order of place."""

    def __init__(self, problems):
        self.problems = sorted(set(problems), key=lambda p: (p.file, p.line, p.column, p.path))[:MOST]
        super().__init__("\n".join(map(str, self.problems)))


class TooMuch(Exception):
    """A bound on the work for one file is reached."""


@lru_cache(maxsize=1)
def _parser():
    text = resources.files("cherrydoor.lease").joinpath("grammar.lark").read_text()
    return Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def parse(text, file):
    """The tree of a file; Problems for what is too long, too deep or not of the grammar."""
    if len(text) > LARGEST:
        raise Problems([Problem(file, 1, 1, "", f"at most {LARGEST} characters", f"{len(text)}")])
    marks = sum(map(text.count, ":,\n{}[]|&*"))
    if marks > MARKS:
        raise Problems([Problem(file, 1, 1, "", f"at most {MARKS} marks and line ends", f"{marks}")])
    depth, line = 0, 0
    for line, one in enumerate(text.split("\n"), 1):
        for column, char in enumerate(one, 1):
            depth += (char in "{[(") - (char in "}])")
            if depth > DEEPEST:
                raise Problems([Problem(file, line, column, "", f"at most {DEEPEST} levels of brackets", "more")])
    found = []

    def note(error):
        if len(found) >= MOST:
            return False
        if isinstance(error, UnexpectedCharacters):
            what = f"the character {error.char!r}"
        else:
            token = getattr(error, "token", None)
            what = "the end" if token is None or token.type == "$END" else repr(str(token))
        names = sorted(getattr(error, "accepts", None) or getattr(error, "allowed", None) or ())
        at = [max(getattr(error, side, 0) or 1, 1) for side in ("line", "column")]
        found.append(Problem(file, at[0] if what != "the end" else line, at[1], "",
                             "one of " + " ".join(names) if names else "something else", what))
        return what != "the end"

    try:
        return _parser().parse(text)
    except UnexpectedInput:         # once more, slowly, for all that is wrong
        pass
    try:
        tree = _parser().parse(text, on_error=note)
    except UnexpectedInput as error:
        if not found:
            note(error)
        tree = None
    if found:
        raise Problems(found)
    return tree


@lru_cache(maxsize=8)
def _schema(text, file):
    tree = parse(text, file)
    for below in tree.iter_subtrees():
        if not below.meta.empty:
            below.meta.line += SCHEMA
        for token in below.children:
            if isinstance(token, Token):
                token.line = (token.line or 0) + SCHEMA
    return tree


class Duration(float):
    """Ms, read from a text with a unit, so that it can be shown with one."""


class Size(int):
    """Bytes, likewise."""


class Atom:
    def __init__(self, kind, value, at, text):
        self.kind, self.value, self.at, self.text = kind, value, at, text

    def same(self, other):
        return self.value == other.value and (self.kind == other.kind or {self.kind, other.kind} == {"int", "number"})


class Type:
    def __init__(self, kind, at):
        self.kind, self.at, self.text = kind, at, kind

    def takes(self, atom):
        return atom.kind == self.kind or self.kind == "number" and atom.kind == "int"


class Bound:
    def __init__(self, op, limit, at):
        self.op, self.limit, self.at, self.text = op, limit, at, op + limit.text

    def takes(self, atom):
        a, b, op = atom.value, self.limit.value, self.op
        if op == "!=":
            return not atom.same(self.limit)
        alike = atom.kind == self.limit.kind or {atom.kind, self.limit.kind} == {"int", "number"}
        if not alike or isinstance(a, bool) or a is None:
            return False
        return {">": a > b, ">=": a >= b, "<": a < b, "<=": a <= b}[op]


class Part:
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
                self.fields.setdefault(name, []).append((member.data == "field", member.children[1], member))

    def allows(self, name):
        return not self.closed or self.open or name in self.fields or bool(self.patterns)


class Row:
    """A list literal as one conjunct of a place."""

    def __init__(self, tree, env, at):
        self.env, self.at, self.text = env, at, "a list"
        self.items = [c for c in tree.children if not (isinstance(c, Tree) and c.data == "more")]
        more = [c for c in tree.children if isinstance(c, Tree) and c.data == "more"]
        self.more = more[0].children[0] if more else None


class Either:
    def __init__(self, options, env, at):
        self.options, self.env, self.at = options, env, at
        self.text = "one of several"


class Env:
    """Where names are looked up: a place and what encloses it; closed within a definition."""

    def __init__(self, place, outer, closed):
        self.place, self.outer, self.closed = place, outer, closed


def label(tree):
    token = tree.children[0]
    return json.loads(token) if token.type == "STRING" else str(token)


def atom_of(token):
    text, at = str(token), (token.line, token.column)
    if token.type == "STRING":
        return Atom("string", json.loads(text), at, text)
    if token.type == "QUANTITY":
        number = text.rstrip("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ%")
        kind, factor = UNITS[text[len(number):]]
        value = float(number) * factor
        return Atom(kind, round(value, 9) if kind != "size" else int(value), at, text)
    if token.type == "NUMBER":
        whole = all(c in "-0123456789" for c in text)
        return Atom("int" if whole else "number", int(text[:400]) if whole else float(text), at, text[:40])
    return {"TRUE": Atom("bool", True, at, text), "FALSE": Atom("bool", False, at, text)}.get(
        token.type, Atom("null", None, at, text))


class Run:
    """The evaluation of one file: steps spent and problems found."""

    def __init__(self, file, schema_file):
        self.file, self.schema_file, self.steps, self.problems = file, schema_file, 0, []

    def step(self):
        self.steps += 1
        if self.steps > STEPS:
            raise TooMuch

    def problem(self, at, path, expected, found):
        file, line = (self.schema_file, at[0] - SCHEMA) if at[0] > SCHEMA else (self.file, at[0])
        self.problems.append(Problem(file, line, at[1], ".".join(map(str, path)), expected, found))


class Place:
    """A field or an item: all that was written for it, and what that comes to."""

    def __init__(self, run, path, written, at):
        self.run, self.path, self.written, self.at = run, path, written, at
        self.state, self.terms, self.fields, self.items, self.kind, self.atom = "new", [], None, None, None, None

    # ---- from trees to terms
    def gather(self, tree, env, out, seen):
        """Appends the terms of one expression; references bring those of their target."""
        self.run.step()
        data, at = tree.data, (tree.meta.line, tree.meta.column) if not tree.meta.empty else self.at
        if data == "both":
            for child in tree.children:
                self.gather(child, env, out, seen)
        elif data == "atom":
            atom = atom_of(tree.children[0])
            if isinstance(atom.value, (int, float)) and not abs(atom.value) < 2**62:
                self.run.problem(atom.at, self.path, "a number below 2^62", atom.text[:40])
                self.kind = "bad"
            else:
                out.append(atom)
        elif data == "bound":
            out.append(Bound(str(tree.children[0]), atom_of(tree.children[1].children[0]), at))
        elif data == "struct":
            out.append(Part(tree, env, env.closed, at))
        elif data == "list":
            out.append(Row(tree, env, at))
        elif data in ("either", "star"):
            options = tree.children if data == "either" else [tree]
            out.append(Either([(o.data == "star", o.children[0] if o.data == "star" else o) for o in options],
                              env, at))
        elif data == "ref":
            self.refer([str(t) for t in tree.children], env, out, seen, at)

    def refer(self, names, env, out, seen, at):
        if len(names) == 1 and names[0] in TYPES:
            out.append(Type(names[0], at))
            return
        scope, target = env, None
        while scope is not None and target is None:
            target = scope.place.field(names[0])
            scope = scope.outer
        for name in names[1:]:
            target = target and target.field(name)
        dotted = ".".join(names)
        if target is None:
            self.bad(at, "a name that is written somewhere", dotted)
        elif target is self or target in seen or len(seen) > DEEPEST:
            self.bad(at, "a value", f"a cycle through {dotted}")
        else:
            for tree, inner in target.written:
                if names[-1].startswith("#"):
                    inner = Env(inner.place, inner.outer, True)
                self.gather(tree, inner, out, (*seen, target))

    # ---- from terms to a value
    def value(self):
        """Evaluates this place once; the places below it are evaluated when asked for."""
        if self.state == "new":
            self.state = "busy"
            terms = []
            for tree, env in self.written:
                self.gather(tree, env, terms, ())
            self.settle(terms)
            self.state = "done"
        return self

    def settle(self, terms):
        while either := next((t for t in terms if isinstance(t, Either)), None):
            self.run.step()
            atoms = [t for t in terms if isinstance(t, Atom)]
            if other := next((a for a in atoms[1:] if not a.same(atoms[0])), None):
                return self.bad(other.at, atoms[0].text, other.text)
            terms = self.choose([t for t in terms if t is not either], either)
            if terms is None:
                return
        self.unify(terms)

    def choose(self, plain, either):
        """The terms with the one option that agrees with all else; of several the default."""
        kept: list = []
        deeper: list = []           # problems of options that fit here and fail only further down
        for starred, tree in self.likely(plain, either.options):
            terms, before = list(plain), len(self.run.problems)
            self.gather(tree, either.env, terms, ())
            trial = Place(self.run, self.path, [], self.at)
            trial.settle(terms)
            trial.walk(len(self.path) + 12)
            if len(self.run.problems) == before:
                kept.append((starred, terms, trial))
            else:
                found = self.run.problems[before:]
                del self.run.problems[before:]
                here = ".".join(map(str, self.path)) + "." if self.path else ""
                if all(p.path.startswith(here) for p in found):
                    deeper.append(found)
        first = [k for k in kept if k[0]] or kept
        firm = [k for k in first if k[2].kind is not None]
        if len(first) == 1:
            return first[0][1]
        if len(firm) > 1 and all(f[2].atom and f[2].atom.same(firm[0][2].atom) for f in firm):
            return firm[0][1]
        if not first and deeper:
            self.run.problems.extend(min(deeper, key=lambda found: (-max(p.path.count(".") for p in found),
                                                                    len(found))))
        elif not first:
            found = next((t for t in plain if isinstance(t, Atom)), None) or (plain[0] if plain else either)
            self.run.problem(found.at, self.path, self.said(either), found.text)
        elif plain or firm:
            self.run.problem(either.at, self.path, "one value", f"several that fit: {self.said(either)}")
        else:
            self.run.problem(self.at, self.path, self.said(either), "nothing")
        self.kind = "bad"
        return None

    def likely(self, plain, options):
        """Of options that are all plain values, the one that was said, if any: the others need no evaluation."""
        atom = next((t for t in plain if isinstance(t, Atom)), None)
        if atom is None or not all(tree.data == "atom" for _, tree in options):
            return options
        return [one for one in options if atom_of(one[1].children[0]).same(atom)] or options

    def said(self, either):
        words = []
        for _, tree in either.options:
            terms, before = [], len(self.run.problems)
            self.gather(tree, either.env, terms, ())
            del self.run.problems[before:]
            words.append(" & ".join(self.said(t) if isinstance(t, Either) else t.text for t in terms))
        return " or ".join(words)

    def unify(self, terms):
        parts = [t for t in terms if isinstance(t, Part)]
        rows = [t for t in terms if isinstance(t, Row)]
        atoms = [t for t in terms if isinstance(t, Atom)]
        limits = [t for t in terms if isinstance(t, (Type, Bound))]
        self.terms = terms
        if not terms:
            return
        groups = [g for g in (parts, rows, atoms) if g]
        if len(groups) > 1 or limits and (parts or rows):
            first = groups[0][0]
            if len(groups) > 1:
                self.bad(groups[1][0].at, first.text, groups[1][0].text)
            else:
                self.bad(first.at, limits[0].text, first.text)
        elif parts:
            self.record(parts)
        elif rows:
            self.row(rows)
        elif atoms:
            self.one(atoms, limits)
        else:
            self.clash(limits)

    def bad(self, at, expected, found):
        self.kind = "bad"
        self.run.problem(at, self.path, expected, found)

    def one(self, atoms, limits):
        first = atoms[0]
        for other in atoms[1:]:
            if not first.same(other):
                return self.bad(other.at, first.text, other.text)
        for limit in limits:
            if not limit.takes(first):
                return self.bad(first.at, limit.text, first.text)
        self.kind, self.atom = "atom", first

    def clash(self, limits):
        types = [t for t in limits if isinstance(t, Type)]
        for other in types[1:]:
            if {types[0].kind, other.kind} != {"int", "number"} and types[0].kind != other.kind:
                return self.bad(other.at, types[0].text, other.text)

    def record(self, parts):
        self.kind, self.fields = "record", {}
        if len(self.path) > DEEPEST:
            return self.bad(parts[0].at, f"at most {DEEPEST} levels", "more")
        given = {}
        for part in parts:
            for name, entries in part.fields.items():
                given.setdefault(name, []).extend((part, *entry) for entry in entries)
        for name, entries in given.items():
            real = [e for e in entries if e[1]]
            if not real:
                continue
            places = [(e[3].meta.line, e[3].meta.column) for e in real] + [part.at for part in parts]
            at = next((p for p in places if p[0] < SCHEMA), places[0])
            if not name.startswith(("#", "_")):
                for part in parts:
                    if not part.allows(name):
                        known = " ".join(sorted(n for n in part.fields if not n.startswith("#")))
                        self.run.problem(at, (*self.path, name), f"a field that is known here ({known})", name)
            written = [(tree, Env(self, part.env, part.env.closed if part.env else part.closed or False))
                       if not part.closed else (tree, Env(self, part.env, True))
                       for part, _, tree, _ in entries]
            if not name.startswith("#"):
                written += [(tree, Env(self, part.env, part.closed)) for part in parts for tree in part.patterns
                            if name not in part.fields]
            self.fields[name] = Place(self.run, (*self.path, name), written, at)

    def row(self, rows):
        self.kind, self.items = "list", []
        length = max(len(r.items) for r in rows)
        for r in rows:
            if r.more is None and len(r.items) < length:
                longer = next(o for o in rows if len(o.items) == length)
                return self.bad(longer.at, f"a list of {len(r.items)}", f"one of {length}")
        for i in range(length):
            written = [(r.items[i] if i < len(r.items) else r.more, r.env) for r in rows]
            at = next((t.meta.line, t.meta.column) for t, _ in written if not t.meta.empty)
            concrete = next((r for r in rows if i < len(r.items)), None)
            if concrete and not concrete.items[i].meta.empty:
                at = concrete.items[i].meta.line, concrete.items[i].meta.column
            self.items.append(Place(self.run, (*self.path, i), written, at))

    def field(self, name):
        """A place below by name, without evaluating it; None where there is none."""
        if self.state == "new":
            self.value()
        return (self.fields or {}).get(name)

    # ---- out
    def walk(self, deepest):
        """Evaluates everything below; a trial needs to know whether any of it fails."""
        self.run.step()
        if self.state == "new" and self.written:
            self.value()
        if len(self.path) >= deepest:
            return
        for below in [*(self.fields or {}).items()]:
            if not below[0].startswith("#"):
                below[1].walk(deepest)
        for below in self.items or ():
            below.walk(deepest)

    def plain(self):
        """Plain Python values; a problem for each place that has none yet."""
        self.run.step()
        if self.state == "new":
            self.value()
        if self.kind == "record":
            return {name: place.plain() for name, place in self.fields.items() if name[0] not in "#_"}
        if self.kind == "list":
            return [place.plain() for place in self.items]
        if self.kind == "atom":
            return {"duration": Duration, "size": Size}.get(self.atom.kind, lambda v: v)(self.atom.value)
        if self.kind is None:
            expected = " & ".join(t.text for t in self.terms) or "a value"
            self.run.problem(self.at, self.path, expected, "nothing")
        return None


def read(text, file="lease", schema="", top="", schema_file="schema"):
    """The plain value of a file's records.

    schema: text of definitions that the file may refer to; top: the definition that the whole file must meet, such as
    '#Lease'. Raises Problems with everything wrong, each with file, line, column and path.
    """
    run, trees = Run(file, schema_file), []
    body = parse(text, file)
    if schema:
        trees.append(_schema(schema, schema_file))
    try:
        base = Place(run, (), [], (1, 1))
        base.state = "done"
        base.record([Part(tree, None, False, (1, 1)) for tree in trees])
        outer = Env(base, None, False)
        struct = Tree("struct", body.children, body.meta)
        written = [(struct, outer)]
        if top:
            written.insert(0, (Tree("ref", [Token("DEF", top)]), outer))
        whole = Place(run, (), written, (1, 1))
        value = whole.plain()
    except (TooMuch, RecursionError):
        raise Problems([*run.problems, Problem(file, 1, 1, "", "a file that can be evaluated in "
                                               f"{STEPS} steps", "more")]) from None
    if run.problems:
        raise Problems(run.problems)
    return value
