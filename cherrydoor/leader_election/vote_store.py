"""Stores a voter's votes: one small file with a checksum, synced before an answer is sent."""

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
FORMAT_LINE = b"cherrydoor promises 1\n"  # first line of the file; part of the stored format
# A file with the maximum number of remembered tasks is far smaller, so a larger file was not
# written by a voter.
MAX_VOTE_FILE_BYTES = 16 * 2**20
DIGEST_BYTES = 16


class ElectionError(Exception):
    """Base class of the errors of leader election."""


class InvalidVoteFileError(ElectionError, ValueError):
    """A vote file is not as this voter wrote it; the message says why."""


def checksum(body: bytes) -> bytes:
    """Returns the checksum of a file's body, in hexadecimal digits."""
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest().encode()


def encode_votes(voter: str, votes: Votes) -> bytes:
    """Returns the content of a vote file: the format line, the body's checksum, then the body.

    >>> decode_votes("k1", encode_votes("k1", Votes(7))).highest_forgotten_token
    7
    """
    body = msgspec.json.encode({"keeper": voter, "promises": votes})
    return FORMAT_LINE + checksum(body) + b"\n" + body


def decode_votes(voter: str, data: bytes) -> Votes:
    """Returns the votes in the content of a vote file.

    Raises:
        InvalidVoteFileError: The content was altered or truncated, has an unknown format, or
            belongs to another voter.
    """
    format_line, _, rest = data.partition(b"\n")
    digest, _, body = rest.partition(b"\n")
    if format_line + b"\n" != FORMAT_LINE:
        raise InvalidVoteFileError("the first line is not that of a known format")
    if checksum(body) != digest:
        raise InvalidVoteFileError("the checksum does not match the content")
    try:
        stored = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
        if msgspec.json.decode(stored["keeper"]) != voter:
            raise InvalidVoteFileError("it holds the votes of another voter")
        return msgspec.json.decode(stored["promises"], type=Votes)
    except (msgspec.MsgspecError, KeyError) as error:
        raise InvalidVoteFileError(str(error)) from None


def write_synced(path: Path, data: bytes) -> None:
    """Replaces a file atomically; it has been synced to disk when this returns.

    Raises:
        OSError: The file cannot be written. Its previous content remains, unless only the sync of
            the folder failed.
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
    """The encoded votes to be written, and the callback for when they are on disk."""

    data: bytes
    on_saved: Callable[[], None]


class VoteStorage(Protocol):
    """Where a voter stores its votes: a `VoteStore`, or a fake in tests."""

    def read(self) -> Votes | None:
        """Returns the stored votes, None if they are lost."""

    def save(self, votes: Votes, on_saved: Callable[[], None], /) -> None:
        """Stores the votes, and calls `on_saved` once that is done."""

    def close(self) -> None:
        """Closes the storage."""


class VoteStore:
    """The vote file of one voter, read at the start and then written by a separate thread.

    Invariant: at most one write is in progress. Saves requested meanwhile are served together by
        the next write, which writes the latest votes. All fields are used on the event loop only.
    """

    def __init__(self, path: str | Path, voter: str) -> None:
        """Prepares the store without opening the file; needs a running event loop.

        Args:
            path: The path of the vote file.
            voter: The name of the voter whose votes are in the file.
        """
        self.path = Path(path)
        self.voter = voter
        self.loop = asyncio.get_running_loop()
        self.thread = ThreadPoolExecutor(1)
        self.pending: list[PendingSave] = []
        self.is_writing = False
        self.last_write_failed = False

    def read(self) -> Votes | None:
        """Returns the stored votes, None if there are none or the file is unreadable or invalid.

        The reason is logged, and an invalid file is set aside for later inspection.
        """
        try:
            if self.path.stat().st_size > MAX_VOTE_FILE_BYTES:
                raise InvalidVoteFileError(f"the file is longer than {MAX_VOTE_FILE_BYTES} bytes")
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
        """Renames an invalid file, so that the next write does not overwrite it."""
        aside = self.path.with_name(self.path.name + ".unsound")
        log.error(
            "stored votes are invalid and set aside: silent for the longest term",
            file=str(aside),
            error=str(error),
        )
        with contextlib.suppress(OSError):
            self.path.replace(aside)

    def save(self, votes: Votes, on_saved: Callable[[], None]) -> None:
        """Stores the votes, and calls `on_saved` once these votes or later ones are on disk.

        If the write fails, `on_saved` is never called.
        """
        self.pending.append(PendingSave(encode_votes(self.voter, votes), on_saved))
        if not self.is_writing:
            self.write_pending()

    def write_pending(self) -> None:
        """Starts a write of the latest votes, which serves all pending saves."""
        batch = self.pending
        self.pending = []
        self.is_writing = True
        future = self.loop.run_in_executor(self.thread, write_synced, self.path, batch[-1].data)
        future.add_done_callback(lambda done: self.on_written(done, batch))

    def on_written(self, done: asyncio.Future[None], batch: list[PendingSave]) -> None:
        """Calls the callbacks of a completed write, or logs its failure; starts the next write."""
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
        """Stops the thread once the write in progress has completed."""
        self.thread.shutdown(wait=False)
