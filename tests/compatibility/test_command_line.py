"""Commands and options keep their names and exit codes.

`commands.json` lists the options of each command; the words of a command are separated by a space.
Commands and options may be added, but none may be removed.
"""

import json
from pathlib import Path

import click
import pytest
import structlog
from click.testing import CliRunner

from cherrydoor.cli.commands import main

HERE = Path(__file__).parent
COMMANDS = json.loads((HERE / "commands.json").read_text())
STORED = HERE / "stored"

EXIT_CODES = [
    (["--version"], 0),
    (["nonsense"], 2),
    (["--log-level", "nonsense", "lease"], 2),
    (["lease", "check", "{stored}/gateway.lease"], 0),
    (["lease", "check", "--json", "{stored}/gateway.lease"], 0),
    (["lease", "check", "{stored}/small.day"], 64),
    (["lease", "check", "--json", "{stored}/small.day"], 64),
    (["lease", "check", "{stored}/missing.lease"], 64),
    (["lease", "check"], 2),
    (["lease", "show", "{stored}/gateway.lease"], 0),
    (["lease", "show", "--json", "{stored}/gateway.lease"], 0),
    (["lease", "show", "{stored}/small.day"], 64),
    (["keys", "show"], 2),
    (["keys", "issue", "{stored}/traffic", "gateway", "g0"], 1),
    (["keys", "token", "{stored}/keys", "unknown", "harbour"], 1),
    (["rehearse"], 2),
    (["rehearse", "{stored}/gateway.lease"], 2),
    (["emulate", "{stored}/gateway.lease"], 2),
    (["audit", "{stored}/keys"], 2),
    (["gateway"], 2),
    (["send", "127.0.0.1:1"], 2),
    (["release", "show", "--control", "{stored}/missing.sock"], 2),
    (["tenure", "show", "--control", "{stored}/missing.sock"], 2),
]


@pytest.fixture(autouse=True)
def logging_left_alone(monkeypatch):
    """Prevents a command from configuring logging on the runner's stream, which is then closed."""
    monkeypatch.setattr(structlog, "configure", lambda **settings: None)


def run(words):
    """Returns the exit code of one command line."""
    return CliRunner().invoke(main, words).exit_code


def command_of(words):
    """Returns the command that these words name, as the command group resolves them."""
    command = main
    context = click.Context(main)
    for word in words:
        command = command.get_command(context, word)
        assert command is not None, word
        context = click.Context(command, parent=context)
    return command


def words_of(command_line):
    return command_line.split()


@pytest.mark.parametrize("command_line", COMMANDS)
def test_every_command_shows_its_help(command_line):
    assert run([*words_of(command_line), "--help"]) == 0


@pytest.mark.parametrize("command_line", COMMANDS)
def test_every_command_takes_its_options(command_line):
    known = set()
    for parameter in command_of(words_of(command_line)).params:
        known.update(parameter.opts)
        known.update(parameter.secondary_opts)
    assert set(COMMANDS[command_line]["options"]) <= known


@pytest.mark.parametrize("command_line", COMMANDS)
def test_every_command_takes_as_many_arguments(command_line):
    arguments = []
    for parameter in command_of(words_of(command_line)).params:
        if isinstance(parameter, click.Argument):
            arguments.append([parameter.required, parameter.nargs])
    assert arguments == COMMANDS[command_line]["arguments"]


@pytest.mark.parametrize(("words", "expected"), EXIT_CODES)
def test_every_command_line_exits_as_before(words, expected):
    assert run([word.replace("{stored}", str(STORED)) for word in words]) == expected
