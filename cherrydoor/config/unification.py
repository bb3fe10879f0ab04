"""All that was written for one place must agree: of several options the one that does, then one value."""

from typing import Any

from cherrydoor.config.constraints import (
    Bound,
    Disjunction,
    ListLiteral,
    Scalar,
    StructLiteral,
    Type,
    scalar_of,
)


class Unification:
    """How the terms of a place come to one value; what a place is made of is said by Node."""

    run: Any
    path: tuple
    at: tuple
    written: list
    state: str
    terms: list
    kind: Any
    scalar: Any
    __init__: Any
    collect_terms: Any
    build_record: Any
    build_list: Any
    evaluate_all: Any

    def value(self):
        """Evaluates this place once; the places below it are evaluated when asked for."""
        if self.state == "new":
            self.state = "busy"
            terms = []
            for tree, env in self.written:
                self.collect_terms(tree, env, terms, ())
            self.resolve(terms)
            self.state = "done"
        return self

    def resolve(self, terms):
        while either := next((t for t in terms if isinstance(t, Disjunction)), None):
            self.run.step()
            atoms = [t for t in terms if isinstance(t, Scalar)]
            if other := next((a for a in atoms[1:] if not a.equals(atoms[0])), None):
                return self.conflict(other.at, atoms[0].text, other.text)
            terms = self.resolve_disjunction([t for t in terms if t is not either], either)
            if terms is None:
                return
        self.unify(terms)

    def resolve_disjunction(self, plain, either):
        """The terms with the one option that agrees with all else; of several the default."""
        kept: list = []
        deeper: list = []  # problems of options that fit here and fail only further down
        for starred, tree in self.candidate_options(plain, either.options):
            terms, before = list(plain), len(self.run.problems)
            self.collect_terms(tree, either.env, terms, ())
            trial = type(self)(self.run, self.path, [], self.at)
            trial.resolve(terms)
            trial.evaluate_all(len(self.path) + 12)
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
        if len(firm) > 1 and all(
            f[2].scalar and f[2].scalar.equals(firm[0][2].scalar) for f in firm
        ):
            return firm[0][1]
        if not first and deeper:
            self.run.problems.extend(
                min(deeper, key=lambda found: (-max(p.path.count(".") for p in found), len(found)))
            )
        elif not first:
            found = next((t for t in plain if isinstance(t, Scalar)), None) or (
                plain[0] if plain else either
            )
            self.run.problem(found.at, self.path, self.describe(either), found.text)
        elif plain or firm:
            self.run.problem(
                either.at, self.path, "one value", f"several that fit: {self.describe(either)}"
            )
        else:
            self.run.problem(self.at, self.path, self.describe(either), "nothing")
        self.kind = "bad"
        return None

    def candidate_options(self, plain, options):
        """Of options that are all plain values, the one that was said, if any: the others need no evaluation."""
        atom = next((t for t in plain if isinstance(t, Scalar)), None)
        if atom is None or not all(tree.data == "atom" for _, tree in options):
            return options
        return [one for one in options if scalar_of(one[1].children[0]).equals(atom)] or options

    def describe(self, either):
        words = []
        for _, tree in either.options:
            terms, before = [], len(self.run.problems)
            self.collect_terms(tree, either.env, terms, ())
            del self.run.problems[before:]
            words.append(
                " & ".join(
                    self.describe(t) if isinstance(t, Disjunction) else t.text for t in terms
                )
            )
        return " or ".join(words)

    def unify(self, terms):
        parts = [t for t in terms if isinstance(t, StructLiteral)]
        rows = [t for t in terms if isinstance(t, ListLiteral)]
        atoms = [t for t in terms if isinstance(t, Scalar)]
        limits = [t for t in terms if isinstance(t, (Type, Bound))]
        self.terms = terms
        if not terms:
            return
        groups = [g for g in (parts, rows, atoms) if g]
        if len(groups) > 1 or limits and (parts or rows):
            first = groups[0][0]
            if len(groups) > 1:
                self.conflict(groups[1][0].at, first.text, groups[1][0].text)
            else:
                self.conflict(first.at, limits[0].text, first.text)
        elif parts:
            self.build_record(parts)
        elif rows:
            self.build_list(rows)
        elif atoms:
            self.unify_scalars(atoms, limits)
        else:
            self.check_types(limits)

    def conflict(self, at, expected, found):
        self.kind = "bad"
        self.run.problem(at, self.path, expected, found)

    def unify_scalars(self, atoms, limits):
        first = atoms[0]
        for other in atoms[1:]:
            if not first.equals(other):
                return self.conflict(other.at, first.text, other.text)
        for limit in limits:
            if not limit.accepts(first):
                return self.conflict(first.at, limit.text, first.text)
        self.kind, self.scalar = "atom", first

    def check_types(self, limits):
        types = [t for t in limits if isinstance(t, Type)]
        for other in types[1:]:
            if {types[0].kind, other.kind} != {"int", "number"} and types[0].kind != other.kind:
                return self.conflict(other.at, types[0].text, other.text)
