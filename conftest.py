"""Known failing tests: KNOWN-RED.txt lists them, one a line, as `test id | cause | issue`, three
at most.

A listed test runs as a strict expected failure, so that one which passes again is red until its
line goes, and each is printed with its cause and issue at the end of the run. A malformed line,
a fourth line and a test that does not exist end the run with an error. No file, or an empty one,
means that there are none.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True)
class KnownFailure:
    """One line of the file."""

    test: str
    cause: str
    issue: str


def read_known_failures(root):
    """All lines of the file; pytest.UsageError names the line that cannot be used."""
    path = Path(root) / FILE
    if not path.exists():
        return []
    found = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(
                f"{FILE}:{number}: 'test id | cause | issue' expected, not {line!r}"
            )
        found.append(KnownFailure(*fields))
    if len(found) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(found)} tests are listed, {MOST} at most")
    return found


def check_known(failures, items, root, selected):
    """Each listed test has to exist, as far as this run's choice of files can tell."""
    ids = {item.nodeid for item in items}
    files = {name.partition("::")[0] for name in ids}
    for failure in failures:
        file = failure.test.partition("::")[0]
        missing = (
            not (Path(root) / file).exists()
            or file in files
            and not selected
            and failure.test not in ids
        )
        if missing:
            raise pytest.UsageError(f"{FILE}: no such test: {failure.test}")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    failures = read_known_failures(config.rootpath)
    check_known(failures, items, config.rootpath, any("::" in argument for argument in config.args))
    listed = {failure.test: failure for failure in failures}
    for item in items:
        if failure := listed.get(item.nodeid):
            item.add_marker(
                pytest.mark.xfail(strict=True, reason=f"{failure.cause} ({failure.issue})")
            )


def pytest_terminal_summary(terminalreporter, config):
    for failure in read_known_failures(config.rootpath):
        terminalreporter.write_line(f"KNOWN RED: {failure.test}: {failure.cause} ({failure.issue})")
