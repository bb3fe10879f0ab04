"""The command line.

Each command imports its modules only when it runs, so that help is shown without delay.
"""

import sys


def main():
    """Runs the command line.

    The platform's gateway has little memory, so it starts without the libraries of other commands.
    """
    if sys.argv[1:] == ["platform"]:
        from cherrydoor.platform.process import main as run

        sys.exit(run())
    from cherrydoor.cli.commands import main as commands

    commands()


__all__ = ["main"]
