"""The Parquet files of a run as rows in order of time. Imports nothing of ours."""

from pathlib import Path

import pyarrow as pa
import pyarrow.parquet as pq

SLACK = 150.0
NEVER_RAN = ("full", "missing")


class Unreadable(ValueError):
    """The folder holds no traffic that could be judged."""


class Seen:
    """Rows by end and kind, each a dict, in order of time."""

    def __init__(self, folder):
        files = sorted(Path(folder).glob("*.parquet"))
        if not files:
            raise Unreadable(f"no Parquet files in {folder}")
        tables = [pq.read_table(f).cast(plain(pq.read_schema(f))) for f in files]
        table = pa.concat_tables(tables).sort_by("t")
        self.kinds = {}
        for key in set(zip(table["end"].to_pylist(), table["what"].to_pylist(), strict=True)):
            mask = pa.compute.and_(
                pa.compute.equal(table["end"], key[0]), pa.compute.equal(table["what"], key[1])
            )
            self.kinds[key] = table.filter(mask).to_pylist()

    def of(self, end, what):
        return self.kinds.get((end, what), [])


def plain(schema):
    return pa.schema(
        [(f.name, pa.string() if pa.types.is_dictionary(f.type) else f.type) for f in schema]
    )


class Violation:
    """One rule broken: which, when, and by what."""

    def __init__(self, rule, t, what, gateway="", event=0):
        self.rule, self.t, self.what, self.gateway, self.event = rule, t, what, gateway, event


def key(row):
    """A launch by host, gateway, the id on its connection and the event: a gateway that restarts counts anew."""
    return row["who"], row["peer"], row["id"], row["event"]
