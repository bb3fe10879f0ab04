"""A place in a file: what was written for it, where references lead, and what lies below."""

from cherrydoor.config.constraints import (
    TYPES,
    Bound,
    Disjunction,
    Duration,
    Env,
    ListLiteral,
    Size,
    StructLiteral,
    Type,
    scalar_of,
)
from cherrydoor.config.parsing import MAX_DEPTH, SCHEMA_LINE_OFFSET, Problem
from cherrydoor.config.unification import Unification

MAX_STEPS = 8000  # evaluations for one file


class EvaluationLimitError(Exception):
    """A bound on the work for one file is reached."""


class Evaluation:
    """The evaluation of one file: steps spent and problems found."""

    def __init__(self, file, schema_file):
        self.file, self.schema_file, self.steps, self.problems = file, schema_file, 0, []
        self.positions = {}  # dotted path -> line and column, of what the file itself says

    def step(self):
        self.steps += 1
        if self.steps > MAX_STEPS:
            raise EvaluationLimitError

    def problem(self, at, path, expected, found):
        file, line = (
            (self.schema_file, at[0] - SCHEMA_LINE_OFFSET)
            if at[0] > SCHEMA_LINE_OFFSET
            else (self.file, at[0])
        )
        self.problems.append(Problem(file, line, at[1], ".".join(map(str, path)), expected, found))


class Node(Unification):
    """A field or an item: all that was written for it, and what that comes to."""

    def __init__(self, run, path, written, at):
        self.run, self.path, self.written, self.at = run, path, written, at
        self.state, self.terms, self.fields, self.items, self.kind, self.scalar = (
            "new",
            [],
            None,
            None,
            None,
            None,
        )

    def collect_terms(self, tree, env, out, seen):
        """Appends the terms of one expression; references bring those of their target."""
        self.run.step()
        data, at = tree.data, (tree.meta.line, tree.meta.column) if not tree.meta.empty else self.at
        if data == "both":
            for child in tree.children:
                self.collect_terms(child, env, out, seen)
        elif data == "atom":
            atom = scalar_of(tree.children[0])
            if isinstance(atom.value, (int, float)) and not abs(atom.value) < 2**62:
                self.run.problem(atom.at, self.path, "a number below 2^62", atom.text[:40])
                self.kind = "bad"
            else:
                out.append(atom)
        elif data == "bound":
            out.append(Bound(str(tree.children[0]), scalar_of(tree.children[1].children[0]), at))
        elif data == "struct":
            out.append(StructLiteral(tree, env, env.closed, at))
        elif data == "list":
            out.append(ListLiteral(tree, env, at))
        elif data in ("either", "star"):
            options = tree.children if data == "either" else [tree]
            out.append(
                Disjunction(
                    [(o.data == "star", o.children[0] if o.data == "star" else o) for o in options],
                    env,
                    at,
                )
            )
        elif data == "ref":
            self.resolve_reference([str(t) for t in tree.children], env, out, seen, at)

    def resolve_reference(self, names, env, out, seen, at):
        if len(names) == 1 and names[0] in TYPES:
            out.append(Type(names[0], at))
            return
        scope, target = env, None
        while scope is not None and target is None:
            target = scope.node.field(names[0])
            scope = scope.outer
        for name in names[1:]:
            target = target and target.field(name)
        dotted = ".".join(names)
        if target is None:
            self.conflict(at, "a name that is written somewhere", dotted)
        elif target is self or target in seen or len(seen) > MAX_DEPTH:
            self.conflict(at, "a value", f"a cycle through {dotted}")
        else:
            for tree, inner in target.written:
                if names[-1].startswith("#"):
                    inner = Env(inner.node, inner.outer, True)
                self.collect_terms(tree, inner, out, (*seen, target))

    def build_record(self, parts):
        self.kind, self.fields = "record", {}
        if len(self.path) > MAX_DEPTH:
            return self.conflict(parts[0].at, f"at most {MAX_DEPTH} levels", "more")
        given = {}
        for part in parts:
            for name, entries in part.fields.items():
                given.setdefault(name, []).extend((part, *entry) for entry in entries)
        for name, entries in given.items():
            real = [e for e in entries if e[1]]
            if not real:
                continue
            positions = [(e[3].meta.line, e[3].meta.column) for e in real] + [
                part.at for part in parts
            ]
            at = next((p for p in positions if p[0] < SCHEMA_LINE_OFFSET), positions[0])
            if not name.startswith(("#", "_")):
                for part in parts:
                    if not part.allows(name):
                        known = " ".join(sorted(n for n in part.fields if not n.startswith("#")))
                        self.run.problem(
                            at, (*self.path, name), f"a field that is known here ({known})", name
                        )
            written = [
                (tree, Env(self, part.env, part.env.closed if part.env else part.closed or False))
                if not part.closed
                else (tree, Env(self, part.env, True))
                for part, _, tree, _ in entries
            ]
            if not name.startswith("#"):
                written += [
                    (tree, Env(self, part.env, part.closed))
                    for part in parts
                    for tree in part.patterns
                    if name not in part.fields
                ]
            self.fields[name] = Node(self.run, (*self.path, name), written, at)

    def build_list(self, rows):
        self.kind, self.items = "list", []
        length = max(len(r.items) for r in rows)
        for r in rows:
            if r.more is None and len(r.items) < length:
                longer = next(o for o in rows if len(o.items) == length)
                return self.conflict(longer.at, f"a list of {len(r.items)}", f"one of {length}")
        for i in range(length):
            written = [(r.items[i] if i < len(r.items) else r.more, r.env) for r in rows]
            at = next((t.meta.line, t.meta.column) for t, _ in written if not t.meta.empty)
            concrete = next((r for r in rows if i < len(r.items)), None)
            if concrete and not concrete.items[i].meta.empty:
                at = concrete.items[i].meta.line, concrete.items[i].meta.column
            self.items.append(Node(self.run, (*self.path, i), written, at))

    def field(self, name):
        """A place below by name, without evaluating it; None where there is none."""
        if self.state == "new":
            self.value()
        return (self.fields or {}).get(name)

    def evaluate_all(self, deepest):
        """Evaluates everything below; a trial needs to know whether any of it fails."""
        self.run.step()
        if self.state == "new" and self.written:
            self.value()
        if len(self.path) >= deepest:
            return
        for below in [*(self.fields or {}).items()]:
            if not below[0].startswith("#"):
                below[1].evaluate_all(deepest)
        for below in self.items or ():
            below.evaluate_all(deepest)

    def to_plain(self):
        """Plain Python values; a problem for each place that has none yet."""
        self.run.step()
        if self.state == "new":
            self.value()
        if self.at[0] < SCHEMA_LINE_OFFSET:
            self.run.positions[".".join(map(str, self.path))] = self.at
        if self.kind == "record":
            return {
                name: node.to_plain() for name, node in self.fields.items() if name[0] not in "#_"
            }
        if self.kind == "list":
            return [node.to_plain() for node in self.items]
        if self.kind == "atom":
            return {"duration": Duration, "size": Size}.get(self.scalar.kind, lambda v: v)(
                self.scalar.value
            )
        if self.kind is None:
            expected = " & ".join(t.text for t in self.terms) or "a value"
            self.run.problem(self.at, self.path, expected, "nothing")
        return None
