"""What passed at a far end, kept as Parquet: one file a second or so, each whole by itself. docs/traffic.md."""

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
EVERY = 1.0  # s between files
MOST = 50000  # rows that make one sooner


class Clocks:
    """What all of this process goes by; an emulation puts its own in their place."""

    steady, wall = time.monotonic, time.time


def now():
    """Ms on the machine's monotonic clock, the same for all processes of one machine."""
    return Clocks.steady() * 1000


def wall():
    """Ms since 1970."""
    return Clocks.wall() * 1000


class Record:
    """Rows of one process. Writing happens on a thread of its own, so that no loop waits for a disk.

    Without a folder nothing is kept. Each file is written under another name and then renamed: what can be read is
    whole, also after the process was killed.
    """

    def __init__(self, folder, end, who):
        self.folder, self.end, self.who = folder and Path(folder), end, who
        self.rows, self.files, self.over = [], 0, threading.Event()
        if self.folder:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.thread = threading.Thread(target=self.run, daemon=True)
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
        """One row; t in ms on the monotonic clock, now unless given. What a, b and c are is told by `what`."""
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

    def run(self):
        while not self.over.wait(EVERY):
            self.flush()

    def flush(self):
        count = len(self.rows)  # the loop adds meanwhile, at the end
        rows = self.rows[:count]
        del self.rows[:count]
        if not rows:
            return
        name = f"{self.end}-{self.who}-{int(time.time() * 1000)}-{self.files:05d}.parquet".replace(
            ":", "_"
        )
        self.files += 1
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
        new = self.folder / (name + ".new")
        pq.write_table(table, new, compression="zstd")
        new.rename(self.folder / name)

    def close(self):
        if self.folder:
            self.over.set()
            self.thread.join()
            self.flush()
