"""Reads typed records: text to plain values, or every problem found with its place.

What is written several times for one place must agree: types, bounds and values unify, as in CUE. A definition
(#Clause) is closed: it refuses fields it does not name. `*a | b` is b with the default a. Durations come out as ms,
sizes as bytes, shares in percent as fractions. Nothing a file holds can make this loop: nesting, length and steps
are bounded, and a reference cycle is a problem like any other.
"""

from lark import Token, Tree

from cherrydoor.config.constraints import Duration as Duration
from cherrydoor.config.constraints import Env, StructLiteral
from cherrydoor.config.constraints import Size as Size
from cherrydoor.config.node import MAX_STEPS, Evaluation, EvaluationLimitError, Node
from cherrydoor.config.parsing import Problem, Problems, parse, schema_tree


def read(text, file="lease", schema="", top="", schema_file="schema", positions=None):
    """The plain value of a file's records.

    schema: text of definitions that the file may refer to; top: the definition that the whole file must meet, such as
    '#Lease'; positions: a dict that is given the line and column of each dotted path that the file says. Raises
    Problems with everything wrong, each with file, line, column and path.
    """
    run, trees = Evaluation(file, schema_file), []
    body = parse(text, file)
    if schema:
        trees.append(schema_tree(schema, schema_file))
    try:
        base = Node(run, (), [], (1, 1))
        base.state = "done"
        base.build_record([StructLiteral(tree, None, False, (1, 1)) for tree in trees])
        outer = Env(base, None, False)
        struct = Tree("struct", body.children, body.meta)
        written = [(struct, outer)]
        if top:
            written.insert(0, (Tree("ref", [Token("DEF", top)]), outer))
        whole = Node(run, (), written, (1, 1))
        value = whole.to_plain()
    except (EvaluationLimitError, RecursionError):
        raise Problems(
            [
                *run.problems,
                Problem(
                    file, 1, 1, "", f"a file that can be evaluated in {MAX_STEPS} steps", "more"
                ),
            ]
        ) from None
    if run.problems:
        raise Problems(run.problems)
    if positions is not None:
        positions.update(run.positions)
    return value
