"""Runs the play of a case and turns its findings into the exit code of `run.sh`."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback

from stands.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_PLAY_S = 110.0


class Case:
    """What a play needs: the record, whether the disruption happens, and what to end.

    Attributes:
        record: The case's record.
        trouble: Whether the disruption happens.
        broken: What broke the rule, one line each.
        closers: Called at the end, in reverse order.
    """

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.broken, self.closers = [], []

    def breaks(self, text):
        """Notes that the rule was broken."""
        self.broken.append(text)
        self.record.write("RULE", f"broken: {text}")

    def end(self):
        """Ends all that the play started."""
        for closer in reversed(self.closers):
            closer()


def run(play, file):
    """Runs `play(case)`; exits with 1 if it broke the rule, 0 if not, 2 if it could not run."""
    case = Case(pathlib.Path(file).resolve().parent)
    case.record.write("case", f"disruption: {'yes' if case.trouble else 'no'}")

    async def limited():
        # Connections that are cut at the end of a play are no news.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(MAX_PLAY_S):
            await play(case)

    def interrupted(*_):
        raise RuntimeError("ended by a signal")

    signal.signal(signal.SIGTERM, interrupted)
    code = COULD_NOT_RUN
    try:
        asyncio.run(limited())
        code = BROKEN if case.broken else HELD
    except Exception as error:  # noqa: BLE001
        case.record.write("case", f"could not run: {traceback.format_exc()}")
        print(f"could not run: {type(error).__name__}: {error}")
    finally:
        case.end()
    for line in case.broken:
        print(f"broken: {line}")
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code])
    case.record.write("case", {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "no run"}[code])
    sys.stdout.flush()
    os._exit(code)
