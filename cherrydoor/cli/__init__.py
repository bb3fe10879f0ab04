"""The command line. Each command imports what it needs when it runs, so that help comes at once."""

from cherrydoor.cli.commands import main

__all__ = ["main"]
