"""A voter's votes on disk: one small file with a checksum, synced before an answer leaves."""

import asyncio
import contextlib
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from hashlib import blake2b
from pathlib import Path
from typing import NamedTuple, Protocol

import msgspec
import structlog

from cherrydoor.leader_election.messages import Votes

log = structlog.get_logger()
FORMAT_LINE = b"cherrydoor promises 1\n"  # the first line of a file; stored, so its words stay
# Bytes; a file with the most tasks that a voter remembers is far smaller, a longer one not ours.
MAX_FILE_BYTES = 16 * 2**20
DIGEST_BYTES = 16


class ElectionError(Exception):
    """What goes wrong in a leader election of this gateway."""


class InvalidVoteFileError(ElectionError, ValueError):
    """The file is not what this voter had written; the text says why."""


def checksum(body: bytes) -> bytes:
    """Returns the hexadecimal checksum of a file's body."""
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest().encode()


def encode_votes(voter: str, votes: Votes) -> bytes:
    """Returns the bytes of a file: the format line, a line with the body's checksum, then the body.

    >>> decode_votes("k1", encode_votes("k1", Votes(7))).highest_forgotten_token
    7
    """
    body = msgspec.json.encode({"keeper": voter, "promises": votes})
    return FORMAT_LINE + checksum(body) + b"\n" + body


def decode_votes(voter: str, data: bytes) -> Votes:
    """Returns the votes of a file.

    Raises:
        InvalidVoteFileError: Where bytes have changed, or where the votes are another voter's.
    """
    format_line, _, rest = data.partition(b"\n")
    digest, _, body = rest.partition(b"\n")
    if format_line + b"\n" != FORMAT_LINE:
        raise InvalidVoteFileError("its format is not known here")
    if checksum(body) != digest:
        raise InvalidVoteFileError("its checksum does not match")
    try:
        stored = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
        if msgspec.json.decode(stored["keeper"]) != voter:
            raise InvalidVoteFileError("it is another voter's")
        return msgspec.json.decode(stored["promises"], type=Votes)
    except (msgspec.MsgspecError, KeyError) as error:
        raise InvalidVoteFileError(str(error)) from None


def write_synced(path: Path, data: bytes) -> None:
    """Writes a file whole or not at all; it is on the disk when this returns.

    Raises:
        OSError: Where it cannot be written; the file of before then stands.
    """
    new_path = path.with_name(path.name + ".new")
    with new_path.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new_path.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class PendingSave(NamedTuple):
    """The bytes of votes to be written, and what to call once they are on disk."""

    data: bytes
    on_saved: Callable[[], None]


class VoteStorage(Protocol):
    """What keeps a voter's votes: a `VoteStore`, or a stand-in of it."""

    def read(self) -> Votes | None:
        """Returns the stored votes, None where they are lost."""

    def save(self, votes: Votes, on_saved: Callable[[], None], /) -> None:
        """Calls `on_saved` once the votes are stored."""

    def close(self) -> None:
        """Ends the storage."""


class VoteStore:
    """The file of one voter, read once and then written on a thread of its own.

    Invariant: at most one write is under way; what is asked for meanwhile is written together,
        next, as the last of it. The event loop owns all fields.
    """

    def __init__(self, path: str | Path, voter: str) -> None:
        """Opens nothing yet; called on a running event loop.

        Args:
            path: Of the file.
            voter: The name of the voter whose votes are in it.
        """
        self.path = Path(path)
        self.voter = voter
        self.loop = asyncio.get_running_loop()
        self.thread = ThreadPoolExecutor(1)
        self.pending: list[PendingSave] = []
        self.is_writing = False
        self.last_write_failed = False

    def read(self) -> Votes | None:
        """Returns the votes, None where there are none or none that can be trusted.

        The reason is logged, and an invalid file is set aside for whoever looks into it.
        """
        try:
            if self.path.stat().st_size > MAX_FILE_BYTES:
                raise InvalidVoteFileError(f"it is longer than {MAX_FILE_BYTES} bytes")
            return decode_votes(self.voter, self.path.read_bytes())
        except FileNotFoundError:
            log.warning("no stored votes: silent for the longest term", file=str(self.path))
        except OSError as error:
            log.error(
                "stored votes cannot be read: silent for the longest term",
                file=str(self.path),
                error=str(error),
            )
        except InvalidVoteFileError as error:
            self.set_aside(error)
        return None

    def set_aside(self, error: InvalidVoteFileError) -> None:
        """Renames an invalid file, so that the next write does not destroy it."""
        aside = self.path.with_name(self.path.name + ".unsound")
        log.error(
            "stored votes are invalid and set aside: silent for the longest term",
            file=str(aside),
            error=str(error),
        )
        with contextlib.suppress(OSError):
            self.path.replace(aside)

    def save(self, votes: Votes, on_saved: Callable[[], None]) -> None:
        """Calls `on_saved` once these votes, or later ones, are on disk; never on a failure."""
        self.pending.append(PendingSave(encode_votes(self.voter, votes), on_saved))
        if not self.is_writing:
            self.write_pending()

    def write_pending(self) -> None:
        """Starts the write of the latest votes, for all saves that wait."""
        batch = self.pending
        self.pending = []
        self.is_writing = True
        future = self.loop.run_in_executor(self.thread, write_synced, self.path, batch[-1].data)
        future.add_done_callback(lambda done: self.on_written(done, batch))

    def on_written(self, done: asyncio.Future[None], batch: list[PendingSave]) -> None:
        """Reports a finished write to those who wait for it, and starts the next."""
        self.is_writing = False
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self.last_write_failed = False
            for save in batch:
                save.on_saved()
        else:
            if not self.last_write_failed:
                log.error(
                    "votes cannot be stored: nothing is granted",
                    file=str(self.path),
                    error=str(error),
                )
            self.last_write_failed = True
        if self.pending:
            self.write_pending()

    def close(self) -> None:
        """Ends the thread, after the write that is under way."""
        self.thread.shutdown(wait=False)
