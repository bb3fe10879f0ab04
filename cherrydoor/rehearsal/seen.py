"""Reads the recorded traffic of a run from its Parquet files, as rows in order of time.

Imports nothing of the project, so that the audit shares no code with what it judges.
"""

from pathlib import Path

import pyarrow as pa
import pyarrow.parquet as pq

# Allowance when times recorded by two processes are compared: it covers the time on the network and the delay of
# both event loops.
SLACK_MS = 150.0

# Outcomes by which a host states that the attempt did not run.
NEVER_RAN_OUTCOMES = ("full", "missing")


class UnreadableTrafficError(ValueError):
    """The folder holds no traffic that can be judged."""


class Seen:
    """Rows by the end that recorded them and by kind. Each row is a dict; rows are in order of time."""

    def __init__(self, folder):
        """Read all Parquet files of the folder.

        Raises:
            UnreadableTrafficError: The folder holds no Parquet file.
        """
        files = sorted(Path(folder).glob("*.parquet"))
        if not files:
            raise UnreadableTrafficError(f"no Parquet files in {folder}")
        tables = [pq.read_table(f).cast(plain_schema(pq.read_schema(f))) for f in files]
        table = pa.concat_tables(tables).sort_by("t")
        self.rows_by_kind = {}
        for kind in set(zip(table["end"].to_pylist(), table["what"].to_pylist(), strict=True)):
            mask = pa.compute.and_(
                pa.compute.equal(table["end"], kind[0]), pa.compute.equal(table["what"], kind[1])
            )
            self.rows_by_kind[kind] = table.filter(mask).to_pylist()

    def of(self, end, what):
        """Return the rows of one kind that one end recorded, e.g. `of("host", "launch")`."""
        return self.rows_by_kind.get((end, what), [])


def plain_schema(schema):
    """Return the schema with dictionary-encoded columns as plain strings.

    Dictionaries differ from file to file, so the tables could not be joined with them.
    """
    return pa.schema(
        [(f.name, pa.string() if pa.types.is_dictionary(f.type) else f.type) for f in schema]
    )


class Violation:
    """One violation of a rule: the rule's number, the time, a description, and the gateway and request concerned."""

    def __init__(self, rule, t, description, gateway="", event=0):
        self.rule, self.t, self.description, self.gateway, self.event = (
            rule,
            t,
            description,
            gateway,
            event,
        )


def launch_key(row):
    """Return what identifies a launch: host, gateway, id on the connection, and request.

    The request is part of the key because a gateway that restarts counts its ids from the start again.
    """
    return row["who"], row["peer"], row["id"], row["event"]
