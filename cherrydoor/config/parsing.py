"""From a file's text to its tree, bounded in length, depth and marks; and what is told of what is wrong."""

from dataclasses import dataclass
from functools import lru_cache
from importlib import resources

from lark import Lark, Token
from lark.exceptions import UnexpectedCharacters, UnexpectedInput

MAX_CHARACTERS = 128 * 1024  # characters of a file
MAX_MARKS = 8000  # separators, colons, brackets and operators in it, which is what reading it takes
MAX_DEPTH = 40  # brackets within brackets
MAX_PROBLEMS = 25  # problems told
# lines of the schema are counted from here on, to tell them from the file's own
SCHEMA_LINE_OFFSET = 10**6


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
        self.problems = sorted(set(problems), key=lambda p: (p.file, p.line, p.column, p.path))[
            :MAX_PROBLEMS
        ]
        super().__init__("\n".join(map(str, self.problems)))


@lru_cache(maxsize=1)
def parser():
    text = resources.files("cherrydoor.config").joinpath("grammar.lark").read_text()
    return Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def parse(text, file):
    """The tree of a file; Problems for what is too long, too deep or not of the grammar."""
    if len(text) > MAX_CHARACTERS:
        raise Problems(
            [Problem(file, 1, 1, "", f"at most {MAX_CHARACTERS} characters", f"{len(text)}")]
        )
    marks = sum(map(text.count, ":,\n{}[]|&*"))
    if marks > MAX_MARKS:
        raise Problems(
            [Problem(file, 1, 1, "", f"at most {MAX_MARKS} marks and line ends", f"{marks}")]
        )
    depth, line = 0, 0
    for line, one in enumerate(text.split("\n"), 1):
        for column, char in enumerate(one, 1):
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
    found = []

    def note(error):
        if len(found) >= MAX_PROBLEMS:
            return False
        if isinstance(error, UnexpectedCharacters):
            what = f"the character {error.char!r}"
        else:
            token = getattr(error, "token", None)
            what = "the end" if token is None or token.type == "$END" else repr(str(token))
        names = sorted(getattr(error, "accepts", None) or getattr(error, "allowed", None) or ())
        at = [max(getattr(error, side, 0) or 1, 1) for side in ("line", "column")]
        found.append(
            Problem(
                file,
                at[0] if what != "the end" else line,
                at[1],
                "",
                "one of " + " ".join(names) if names else "something else",
                what,
            )
        )
        return what != "the end"

    try:
        return parser().parse(text)
    except UnexpectedInput:  # once more, slowly, for all that is wrong
        pass
    try:
        tree = parser().parse(text, on_error=note)
    except UnexpectedInput as error:
        if not found:
            note(error)
        tree = None
    if found:
        raise Problems(found)
    return tree


@lru_cache(maxsize=8)
def schema_tree(text, file):
    tree = parse(text, file)
    for below in tree.iter_subtrees():
        if not below.meta.empty:
            below.meta.line += SCHEMA_LINE_OFFSET
        for token in below.children:
            if isinstance(token, Token):
                token.line = (token.line or 0) + SCHEMA_LINE_OFFSET
    return tree
