"""The command line. Each command imports what it needs when it runs, so that help comes at once."""

import sys


def main():
    """The platform's gateway has little memory: it starts without the libraries of the other commands."""
    if sys.argv[1:] == ["platform"]:
        from cherrydoor.platform.process import main as run

        sys.exit(run())
    from cherrydoor.cli.commands import main as commands

    commands()


__all__ = ["main"]
