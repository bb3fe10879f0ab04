"""Unifies all terms of a field, after selecting an option of each disjunction."""

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
    """Unification of the terms of one field to one value; the subclass Node supplies the terms."""

    evaluation: Any
    path: tuple
    position: tuple
    expressions: list
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
        """Evaluates this node once. Its fields and items are evaluated when they are needed."""
        if self.state == "new":
            self.state = "busy"
            terms = []
            for tree, env in self.expressions:
                self.collect_terms(tree, env, terms, ())
            self.resolve(terms)
            self.state = "done"
        return self

    def resolve(self, terms):
        """Selects an option of each disjunction among the terms, then unifies them."""
        while disjunction := next((t for t in terms if isinstance(t, Disjunction)), None):
            self.evaluation.step()
            scalars = [t for t in terms if isinstance(t, Scalar)]
            if other := next((a for a in scalars[1:] if not a.equals(scalars[0])), None):
                return self.conflict(other.position, scalars[0].text, other.text)
            terms = self.resolve_disjunction(
                [t for t in terms if t is not disjunction], disjunction
            )
            if terms is None:
                return
        self.unify(terms)

    def resolve_disjunction(self, other_terms, disjunction):
        """Returns the terms with the one option that fits all others; of several, the default.

        Returns None after reporting a problem if no single option can be selected.
        """
        fitting: list = []
        # Problems of options that fit this node and fail only in nested nodes.
        nested_failures: list = []
        for is_default, tree in self.candidate_options(other_terms, disjunction.options):
            terms, problem_count = list(other_terms), len(self.evaluation.problems)
            self.collect_terms(tree, disjunction.env, terms, ())
            trial = type(self)(self.evaluation, self.path, [], self.position)
            trial.resolve(terms)
            trial.evaluate_all(len(self.path) + 12)
            if len(self.evaluation.problems) == problem_count:
                fitting.append((is_default, terms, trial))
            else:
                found = self.evaluation.problems[problem_count:]
                del self.evaluation.problems[problem_count:]
                path_prefix = ".".join(map(str, self.path)) + "." if self.path else ""
                if all(p.path.startswith(path_prefix) for p in found):
                    nested_failures.append(found)
        preferred = [option for option in fitting if option[0]] or fitting
        definite = [option for option in preferred if option[2].kind is not None]
        if len(preferred) == 1:
            return preferred[0][1]
        if len(definite) > 1 and all(
            candidate[2].scalar and candidate[2].scalar.equals(definite[0][2].scalar)
            for candidate in definite
        ):
            return definite[0][1]
        if not preferred and nested_failures:
            self.evaluation.problems.extend(
                min(
                    nested_failures,
                    key=lambda found: (
                        -max(p.path.count(".") for p in found),
                        len(found),
                    ),
                )
            )
        elif not preferred:
            found = next((t for t in other_terms if isinstance(t, Scalar)), None) or (
                other_terms[0] if other_terms else disjunction
            )
            self.evaluation.problem(
                found.position, self.path, self.describe(disjunction), found.text
            )
        elif other_terms or definite:
            self.evaluation.problem(
                disjunction.position,
                self.path,
                "one value",
                f"several that fit: {self.describe(disjunction)}",
            )
        else:
            self.evaluation.problem(self.position, self.path, self.describe(disjunction), "nothing")
        self.kind = "bad"
        return None

    def candidate_options(self, other_terms, options):
        """Returns the options that need to be evaluated.

        If all options are scalars and a value is given, that is only the option equal to it.
        """
        scalar_term = next((t for t in other_terms if isinstance(t, Scalar)), None)
        if scalar_term is None or not all(tree.data == "atom" for _, tree in options):
            return options
        return [
            option for option in options if scalar_of(option[1].children[0]).equals(scalar_term)
        ] or options

    def describe(self, disjunction):
        """Returns the options of a disjunction as text for a problem."""
        descriptions = []
        for _, tree in disjunction.options:
            terms, problem_count = [], len(self.evaluation.problems)
            self.collect_terms(tree, disjunction.env, terms, ())
            del self.evaluation.problems[problem_count:]
            descriptions.append(
                " & ".join(
                    self.describe(t) if isinstance(t, Disjunction) else t.text for t in terms
                )
            )
        return " or ".join(descriptions)

    def unify(self, terms):
        """Unifies terms without disjunctions: records, lists, or scalars with types and bounds."""
        structs = [t for t in terms if isinstance(t, StructLiteral)]
        lists = [t for t in terms if isinstance(t, ListLiteral)]
        scalars = [t for t in terms if isinstance(t, Scalar)]
        constraints = [t for t in terms if isinstance(t, (Type, Bound))]
        self.terms = terms
        if not terms:
            return
        groups = [g for g in (structs, lists, scalars) if g]
        if len(groups) > 1 or constraints and (structs or lists):
            first = groups[0][0]
            if len(groups) > 1:
                self.conflict(groups[1][0].position, first.text, groups[1][0].text)
            else:
                self.conflict(first.position, constraints[0].text, first.text)
        elif structs:
            self.build_record(structs)
        elif lists:
            self.build_list(lists)
        elif scalars:
            self.unify_scalars(scalars, constraints)
        else:
            self.check_types(constraints)

    def conflict(self, position, expected, found):
        """Reports a problem and marks this node as having no value."""
        self.kind = "bad"
        self.evaluation.problem(position, self.path, expected, found)

    def unify_scalars(self, scalars, constraints):
        """Sets the value if all scalars are equal and satisfy all constraints."""
        first = scalars[0]
        for other in scalars[1:]:
            if not first.equals(other):
                return self.conflict(other.position, first.text, other.text)
        for constraint in constraints:
            if not constraint.accepts(first):
                return self.conflict(first.position, constraint.text, first.text)
        self.kind, self.scalar = "atom", first

    def check_types(self, constraints):
        """Checks that types given without a value can agree."""
        types = [t for t in constraints if isinstance(t, Type)]
        for other in types[1:]:
            if {types[0].kind, other.kind} != {"int", "number"} and types[0].kind != other.kind:
                return self.conflict(other.position, types[0].text, other.text)
