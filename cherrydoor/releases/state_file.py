"""The file that keeps the state of rollouts across restarts: a checksum line, then JSON."""

import contextlib
import hashlib
from pathlib import Path
from typing import Any

import msgspec

from cherrydoor.releases.stored_state import StoredFunction

StoredState = dict[str, StoredFunction]


class StateFileError(ValueError):
    """The content of a state file is not valid; the message says what is wrong."""


def seal(state: StoredState) -> bytes:
    """Return the content of the file: a line with the SHA-256 of the JSON, then the JSON."""
    body = msgspec.json.encode(state, order="sorted")
    return hashlib.sha256(body).hexdigest().encode() + b"\n" + body


def unseal(data: bytes) -> Any:
    """Return the state that was passed to `seal`, without checking its shape.

    Raises:
        StateFileError: The checksum does not match, so the file was truncated or altered.
    """
    checksum, _, body = data.partition(b"\n")
    if hashlib.sha256(body).hexdigest().encode() != checksum:
        raise StateFileError("the SHA-256 in the first line does not match the rest of the file")
    return msgspec.json.decode(body)


class StateFile:
    """One gateway's state file. It is replaced atomically, so readers never see a partial state."""

    def __init__(self, path: Path) -> None:
        """Set the path; the file is not opened."""
        self.path = path

    def exists(self) -> bool:
        """Return whether the file exists."""
        return self.path.exists()

    def read(self) -> Any:
        """Return the state that was last written.

        Raises:
            OSError: The file cannot be read.
            StateFileError: The checksum does not match.
        """
        return unseal(self.path.read_bytes())

    def write(self, state: StoredState) -> None:
        """Replace the file with one that holds this state.

        Raises:
            OSError: The file cannot be written.
        """
        new_path = self.path.with_name(self.path.name + ".new")
        new_path.write_bytes(seal(state))
        new_path.replace(self.path)

    def set_aside(self) -> Path:
        """Rename the file for later inspection; return the new path, even if renaming failed."""
        aside = self.path.with_name(self.path.name + ".broken")
        with contextlib.suppress(OSError):
            self.path.replace(aside)
        return aside
