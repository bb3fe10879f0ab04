"""The file that keeps the rollouts' state over a restart: a checksum line, then JSON."""

import contextlib
import hashlib
from pathlib import Path
from typing import Any

import msgspec

from cherrydoor.releases.stored_state import StoredFunction

StoredState = dict[str, StoredFunction]


class StateFileError(ValueError):
    """A file's content cannot be used; the message says what was found."""


def seal(state: StoredState) -> bytes:
    """Return the file's bytes: a line with the SHA-256 of the rest, and the rest."""
    body = msgspec.json.encode(state, order="sorted")
    return hashlib.sha256(body).hexdigest().encode() + b"\n" + body


def unseal(data: bytes) -> Any:
    """Return what `seal` was given; its shape is not checked.

    Raises:
        StateFileError: The checksum does not match, so the file was cut short or altered.
    """
    checksum, _, body = data.partition(b"\n")
    if hashlib.sha256(body).hexdigest().encode() != checksum:
        raise StateFileError("the SHA-256 in its first line is not that of the rest")
    return msgspec.json.decode(body)


class StateFile:
    """One gateway's file. It is replaced whole, so a reader sees an old state or a new one."""

    def __init__(self, path: Path) -> None:
        """Name the file; nothing is opened."""
        self.path = path

    def exists(self) -> bool:
        """Return whether a state was written before."""
        return self.path.exists()

    def read(self) -> Any:
        """Return the state that was written last.

        Raises:
            OSError: The file cannot be read.
            StateFileError: Its checksum does not match.
        """
        return unseal(self.path.read_bytes())

    def write(self, state: StoredState) -> None:
        """Replace the file.

        Raises:
            OSError: It cannot be written.
        """
        new = self.path.with_name(self.path.name + ".new")
        new.write_bytes(seal(state))
        new.replace(self.path)

    def set_aside(self) -> Path:
        """Rename the file for later inspection; return its new path, also where that failed."""
        aside = self.path.with_name(self.path.name + ".broken")
        with contextlib.suppress(OSError):
            self.path.replace(aside)
        return aside
