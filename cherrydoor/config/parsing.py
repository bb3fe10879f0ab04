"""Parses a file to its tree, with limits on its size and nesting, and reports syntax errors."""

from dataclasses import dataclass
from functools import lru_cache
from importlib import resources

from lark import Lark, Token
from lark.exceptions import UnexpectedCharacters, UnexpectedInput

MAX_CHARACTERS = 128 * 1024  # per file
# Separators, colons, line ends, brackets and operators per file; the time for parsing depends on
# their number.
MAX_SEPARATORS = 8000
MAX_DEPTH = 40  # levels of nested brackets
MAX_PROBLEMS = 25  # reported per file
# Added to the line numbers of the schema, to tell them from those of the file.
SCHEMA_LINE_OFFSET = 10**6


@dataclass(frozen=True)
class Problem:
    """One problem of a file: its position and path, what was expected and what was found.

    `line` and `column` count from 1; `path` is dotted, "" for the file as a whole.
    """

    file: str
    line: int
    column: int
    path: str
    expected: str
    found: str

    def __str__(self):
        position = f"{self.file}:{self.line}:{self.column}"
        return (
            f"{position}: {self.path + ': ' if self.path else ''}"
            f"expected {self.expected}, found {self.found}"
        )


class Problems(ValueError):
    """All problems of a file, sorted by position; at most MAX_PROBLEMS."""

    def __init__(self, problems):
        self.problems = sorted(set(problems), key=lambda p: (p.file, p.line, p.column, p.path))[
            :MAX_PROBLEMS
        ]
        super().__init__("\n".join(map(str, self.problems)))


@lru_cache(maxsize=1)
def parser():
    """Returns the parser of the grammar, made once."""
    text = resources.files("cherrydoor.config").joinpath("grammar.lark").read_text()
    return Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def parse(text, file):
    """Returns the tree of a file.

    Raises:
        Problems: The file is too long, nested too deeply, or does not follow the grammar.
    """
    if len(text) > MAX_CHARACTERS:
        raise Problems(
            [Problem(file, 1, 1, "", f"at most {MAX_CHARACTERS} characters", f"{len(text)}")]
        )
    separator_count = sum(map(text.count, ":,\n{}[]|&*"))
    if separator_count > MAX_SEPARATORS:
        raise Problems(
            [
                Problem(
                    file,
                    1,
                    1,
                    "",
                    f"at most {MAX_SEPARATORS} separators, brackets, operators and line ends",
                    f"{separator_count}",
                )
            ]
        )
    depth, line = 0, 0
    for line, text_line in enumerate(text.split("\n"), 1):
        for column, char in enumerate(text_line, 1):
            depth += (char in "{[(") - (char in "}])")
            if depth > MAX_DEPTH:
                raise Problems(
                    [
                        Problem(
                            file,
                            line,
                            column,
                            "",
                            f"at most {MAX_DEPTH} levels of brackets",
                            "more",
                        )
                    ]
                )
    problems = []

    def add_problem(error):
        if len(problems) >= MAX_PROBLEMS:
            return False
        if isinstance(error, UnexpectedCharacters):
            token_text = f"the character {error.char!r}"
        else:
            token = getattr(error, "token", None)
            token_text = (
                "the end of the file" if token is None or token.type == "$END" else repr(str(token))
            )
        names = sorted(getattr(error, "accepts", None) or getattr(error, "allowed", None) or ())
        position = [max(getattr(error, side, 0) or 1, 1) for side in ("line", "column")]
        problems.append(
            Problem(
                file,
                position[0] if token_text != "the end of the file" else line,
                position[1],
                "",
                "one of " + " ".join(names) if names else "something else",
                token_text,
            )
        )
        return token_text != "the end of the file"

    try:
        return parser().parse(text)
    except UnexpectedInput:  # parsed again below, more slowly, to collect all problems
        pass
    try:
        tree = parser().parse(text, on_error=add_problem)
    except UnexpectedInput as error:
        if not problems:
            add_problem(error)
        tree = None
    if problems:
        raise Problems(problems)
    return tree


@lru_cache(maxsize=8)
def schema_tree(text, file):
    """Returns the tree of a schema, with SCHEMA_LINE_OFFSET added to its line numbers."""
    tree = parse(text, file)
    for subtree in tree.iter_subtrees():
        if not subtree.meta.empty:
            subtree.meta.line += SCHEMA_LINE_OFFSET
        for token in subtree.children:
            if isinstance(token, Token):
                token.line = (token.line or 0) + SCHEMA_LINE_OFFSET
    return tree
