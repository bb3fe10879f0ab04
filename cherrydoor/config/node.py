"""A field or list item of a file: its expressions, references, and nested fields and items."""

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

MAX_STEPS = 8000  # evaluation steps per file


class EvaluationLimitError(Exception):
    """The limit of evaluation steps for one file is reached."""


class Evaluation:
    """The evaluation of one file: its steps, problems and positions."""

    def __init__(self, file, schema_file):
        self.file, self.schema_file, self.steps, self.problems = file, schema_file, 0, []
        self.positions = {}  # dotted path -> line and column, of values set in the file itself

    def step(self):
        """Counts one step.

        Raises:
            EvaluationLimitError: The file needs more than MAX_STEPS steps.
        """
        self.steps += 1
        if self.steps > MAX_STEPS:
            raise EvaluationLimitError

    def problem(self, position, path, expected, found):
        """Adds a problem. Lines above SCHEMA_LINE_OFFSET are those of the schema."""
        file, line = (
            (self.schema_file, position[0] - SCHEMA_LINE_OFFSET)
            if position[0] > SCHEMA_LINE_OFFSET
            else (self.file, position[0])
        )
        self.problems.append(
            Problem(file, line, position[1], ".".join(map(str, path)), expected, found)
        )


class Node(Unification):
    """A field or a list item: all expressions for it, and the value that results from them."""

    def __init__(self, evaluation, path, expressions, position):
        self.evaluation, self.path, self.expressions, self.position = (
            evaluation,
            path,
            expressions,
            position,
        )
        self.state, self.terms, self.fields, self.items, self.kind, self.scalar = (
            "new",
            [],
            None,
            None,
            None,
            None,
        )

    def collect_terms(self, tree, env, terms, visited):
        """Appends the terms of one expression to `terms`; a reference adds those of its target."""
        self.evaluation.step()
        data, position = (
            tree.data,
            (tree.meta.line, tree.meta.column) if not tree.meta.empty else self.position,
        )
        if data == "both":
            for child in tree.children:
                self.collect_terms(child, env, terms, visited)
        elif data == "atom":
            scalar = scalar_of(tree.children[0])
            if isinstance(scalar.value, (int, float)) and not abs(scalar.value) < 2**62:
                self.evaluation.problem(
                    scalar.position, self.path, "a number below 2^62", scalar.text[:40]
                )
                self.kind = "bad"
            else:
                terms.append(scalar)
        elif data == "bound":
            terms.append(
                Bound(str(tree.children[0]), scalar_of(tree.children[1].children[0]), position)
            )
        elif data == "struct":
            terms.append(StructLiteral(tree, env, env.closed, position))
        elif data == "list":
            terms.append(ListLiteral(tree, env, position))
        elif data in ("either", "star"):
            options = tree.children if data == "either" else [tree]
            terms.append(
                Disjunction(
                    [
                        (
                            option.data == "star",
                            option.children[0] if option.data == "star" else option,
                        )
                        for option in options
                    ],
                    env,
                    position,
                )
            )
        elif data == "ref":
            self.resolve_reference([str(t) for t in tree.children], env, terms, visited, position)

    def resolve_reference(self, names, env, terms, visited, position):
        """Adds the terms of the type or field that a dotted name refers to.

        The first name is looked up from the innermost scope outwards. A reference to a definition
        is closed.
        """
        if len(names) == 1 and names[0] in TYPES:
            terms.append(Type(names[0], position))
            return
        scope, target = env, None
        while scope is not None and target is None:
            target = scope.node.field(names[0])
            scope = scope.outer
        for name in names[1:]:
            target = target and target.field(name)
        dotted = ".".join(names)
        if target is None:
            self.conflict(position, "a defined name", dotted)
        elif target is self or target in visited or len(visited) > MAX_DEPTH:
            self.conflict(position, "a value", f"a cycle through {dotted}")
        else:
            for tree, target_env in target.expressions:
                if names[-1].startswith("#"):
                    target_env = Env(target_env.node, target_env.outer, True)
                self.collect_terms(tree, target_env, terms, (*visited, target))

    def build_record(self, structs):
        """Creates the nodes of the fields from all record literals, without evaluating them."""
        self.kind, self.fields = "record", {}
        if len(self.path) > MAX_DEPTH:
            return self.conflict(structs[0].position, f"at most {MAX_DEPTH} levels", "more")
        members = {}
        for struct in structs:
            for name, entries in struct.fields.items():
                members.setdefault(name, []).extend((struct, *entry) for entry in entries)
        for name, entries in members.items():
            set_entries = [member for member in entries if member[1]]
            if not set_entries:
                continue
            positions = [(member[3].meta.line, member[3].meta.column) for member in set_entries] + [
                struct.position for struct in structs
            ]
            position = next((p for p in positions if p[0] < SCHEMA_LINE_OFFSET), positions[0])
            if not name.startswith(("#", "_")):
                for struct in structs:
                    if not struct.allows(name):
                        known_fields = " ".join(
                            sorted(
                                field_name
                                for field_name in struct.fields
                                if not field_name.startswith("#")
                            )
                        )
                        self.evaluation.problem(
                            position, (*self.path, name), f"a known field ({known_fields})", name
                        )
            expressions = [
                (
                    tree,
                    Env(
                        self,
                        struct.env,
                        struct.env.closed if struct.env else struct.closed or False,
                    ),
                )
                if not struct.closed
                else (tree, Env(self, struct.env, True))
                for struct, _, tree, _ in entries
            ]
            if not name.startswith("#"):
                expressions += [
                    (tree, Env(self, struct.env, struct.closed))
                    for struct in structs
                    for tree in struct.patterns
                    if name not in struct.fields
                ]
            self.fields[name] = Node(self.evaluation, (*self.path, name), expressions, position)

    def build_list(self, lists):
        """Creates the nodes of the items from all list literals, without evaluating them."""
        self.kind, self.items = "list", []
        length = max(len(literal.items) for literal in lists)
        for literal in lists:
            if literal.rest is None and len(literal.items) < length:
                longer = next(other for other in lists if len(other.items) == length)
                return self.conflict(
                    longer.position, f"a list of {len(literal.items)}", f"one of {length}"
                )
        for index in range(length):
            expressions = [
                (literal.items[index] if index < len(literal.items) else literal.rest, literal.env)
                for literal in lists
            ]
            position = next(
                (t.meta.line, t.meta.column) for t, _ in expressions if not t.meta.empty
            )
            first_with_item = next(
                (literal for literal in lists if index < len(literal.items)), None
            )
            if first_with_item and not first_with_item.items[index].meta.empty:
                position = (
                    first_with_item.items[index].meta.line,
                    first_with_item.items[index].meta.column,
                )
            self.items.append(Node(self.evaluation, (*self.path, index), expressions, position))

    def field(self, name):
        """Returns the field of this name without evaluating it; None if there is none."""
        if self.state == "new":
            self.value()
        return (self.fields or {}).get(name)

    def evaluate_all(self, max_depth):
        """Evaluates this node and all nested nodes down to a depth.

        The trial of an option needs to know whether any of them fails.
        """
        self.evaluation.step()
        if self.state == "new" and self.expressions:
            self.value()
        if len(self.path) >= max_depth:
            return
        for child in [*(self.fields or {}).items()]:
            if not child[0].startswith("#"):
                child[1].evaluate_all(max_depth)
        for child in self.items or ():
            child.evaluate_all(max_depth)

    def to_plain(self):
        """Returns plain Python values, and reports a problem for each node without a value."""
        self.evaluation.step()
        if self.state == "new":
            self.value()
        if self.position[0] < SCHEMA_LINE_OFFSET:
            self.evaluation.positions[".".join(map(str, self.path))] = self.position
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
            self.evaluation.problem(self.position, self.path, expected, "nothing")
        return None
