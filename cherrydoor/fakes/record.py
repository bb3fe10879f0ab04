"""Records the traffic of a fake or a client as Parquet files, about one a second: docs/traffic.md.

Each file can be read without the others.
"""

import threading
import time
from pathlib import Path

import pyarrow as pa
import pyarrow.parquet as pq

SCHEMA = pa.schema(
    [
        ("t", pa.float64()),
        ("end", pa.dictionary(pa.int32(), pa.string())),
        ("who", pa.dictionary(pa.int32(), pa.string())),
        ("peer", pa.dictionary(pa.int32(), pa.string())),
        ("what", pa.dictionary(pa.int32(), pa.string())),
        ("id", pa.int64()),
        ("event", pa.int64()),
        ("number", pa.int32()),
        ("function", pa.dictionary(pa.int32(), pa.string())),
        ("clause", pa.dictionary(pa.int32(), pa.string())),
        ("party", pa.dictionary(pa.int32(), pa.string())),
        ("mark", pa.string()),
        ("fate", pa.dictionary(pa.int32(), pa.string())),
        ("a", pa.float64()),
        ("b", pa.float64()),
        ("c", pa.float64()),
        ("text", pa.string()),
    ]
)
NAMES = SCHEMA.names
FILE_INTERVAL_S = 1.0
MAX_ROWS_PER_FILE = 50000  # not enforced: a file has all rows of its interval


class Clocks:
    """The clocks of this process, in seconds; an emulation replaces them by its virtual clocks."""

    monotonic, wall = time.monotonic, time.time


def now():
    """Returns the monotonic time in ms, which is the same for all processes of one machine."""
    return Clocks.monotonic() * 1000


def wall():
    """Returns the wall-clock time in ms since 1970."""
    return Clocks.wall() * 1000


class Record:
    """Rows of one process, written by a thread so that the event loop never waits for a disk.

    Each file is written under a temporary name and then renamed, so a file with its final name is
    complete even if the process was killed.

    Attributes:
        folder: Where the files are written; without one, nothing is recorded.
        end: Kind of the process, the column "end" of its rows.
        who: Name of the process, the column "who" of rows that state no other.
        rows: Rows not yet written.
        file_count: Number of files written.
        over: Set to stop the thread.
    """

    def __init__(self, folder, end, who):
        self.folder, self.end, self.who = folder and Path(folder), end, who
        self.rows, self.file_count, self.over = [], 0, threading.Event()
        if self.folder:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.thread = threading.Thread(target=self.write_periodically, daemon=True)
            self.thread.start()

    def add(
        self,
        what,
        who=None,
        peer="",
        id=0,
        event=0,
        number=0,
        function="",
        clause="",
        party="",
        mark="",
        fate="",
        a=0.0,
        b=0.0,
        c=0.0,
        text="",
        t=None,
    ):
        """Adds a row of kind `what`, on which the meaning of a, b and c depends.

        t is in ms on the monotonic clock, the present time if None.
        """
        if self.folder:
            self.rows.append(
                (
                    now() if t is None else t,
                    self.end,
                    who or self.who,
                    peer,
                    what,
                    id,
                    event,
                    number,
                    function,
                    clause,
                    party,
                    mark,
                    fate,
                    a,
                    b,
                    c,
                    text,
                )
            )

    def write_periodically(self):
        """Writes a file per interval until the record is closed."""
        while not self.over.wait(FILE_INTERVAL_S):
            self.flush()

    def flush(self):
        """Writes the rows so far to a file, if there are any."""
        count = len(self.rows)  # the event loop may append rows meanwhile
        rows = self.rows[:count]
        del self.rows[:count]
        if not rows:
            return
        name = f"{self.end}-{self.who}-{int(time.time() * 1000)}-{self.file_count:05d}.parquet".replace(
            ":", "_"
        )
        self.file_count += 1
        columns = list(zip(*rows, strict=True))
        table = pa.table(
            [
                pa.array(column, pa.string()).dictionary_encode()
                if pa.types.is_dictionary(field.type)
                else pa.array(column, field.type)
                for column, field in zip(columns, SCHEMA, strict=True)
            ],
            schema=SCHEMA,
        )
        unfinished = self.folder / (name + ".new")
        pq.write_table(table, unfinished, compression="zstd")
        unfinished.rename(self.folder / name)

    def close(self):
        """Stops the thread and writes the remaining rows."""
        if self.folder:
            self.over.set()
            self.thread.join()
            self.flush()
