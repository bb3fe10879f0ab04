"""Reads typed records: converts text to plain values, or reports every problem with its position.

All expressions for one field must agree: types, bounds and values are unified, as in CUE. A
definition such as #Clause is closed: it rejects fields that it does not name. `*a | b` means b with
the default a. Durations are returned in ms, sizes in bytes and percentages as fractions.

Evaluation ends for every input: nesting, length and steps are limited, and a reference cycle is
reported as a problem.
"""

from lark import Token, Tree

from cherrydoor.config.constraints import Duration as Duration
from cherrydoor.config.constraints import Env, StructLiteral
from cherrydoor.config.constraints import Size as Size
from cherrydoor.config.node import MAX_STEPS, Evaluation, EvaluationLimitError, Node
from cherrydoor.config.parsing import Problem, Problems, parse, schema_tree


def read(text, file="lease", schema="", top="", schema_file="schema", positions=None):
    """Returns the plain value of a file's records.

    Args:
        text: The text of the file.
        file: Name of the file, for error messages.
        schema: Text of the definitions that the file may refer to.
        top: The definition that the whole file must satisfy, such as '#Lease'; "" for none.
        schema_file: Name of the schema, for error messages.
        positions: A dict that receives the line and column of each dotted path that the file sets.

    Raises:
        Problems: The file is not valid; lists everything wrong with it, with file, line, column
            and path.
    """
    evaluation, schema_trees = Evaluation(file, schema_file), []
    body = parse(text, file)
    if schema:
        schema_trees.append(schema_tree(schema, schema_file))
    try:
        definitions = Node(evaluation, (), [], (1, 1))
        definitions.state = "done"
        definitions.build_record(
            [StructLiteral(tree, None, False, (1, 1)) for tree in schema_trees]
        )
        scope = Env(definitions, None, False)
        file_record = Tree("struct", body.children, body.meta)
        expressions = [(file_record, scope)]
        if top:
            expressions.insert(0, (Tree("ref", [Token("DEF", top)]), scope))
        root = Node(evaluation, (), expressions, (1, 1))
        value = root.to_plain()
    except (EvaluationLimitError, RecursionError):
        raise Problems(
            [
                *evaluation.problems,
                Problem(
                    file, 1, 1, "", f"a file that can be evaluated in {MAX_STEPS} steps", "more"
                ),
            ]
        ) from None
    if evaluation.problems:
        raise Problems(evaluation.problems)
    if positions is not None:
        positions.update(evaluation.positions)
    return value
