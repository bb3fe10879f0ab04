"""The Unix socket on which operators send commands to a running gateway."""

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

OWNER_ONLY = 0o600  # permissions of the socket's file


class ControlSocket:
    """Answers each command, one line of JSON, with one line of JSON.

    A malformed command is answered with `{"error": ...}`. Only the file's owner may connect.
    """

    def __init__(self, path: str | Path, handle_command: Callable[[Any], Any]) -> None:
        """Prepares a socket that `start` opens.

        Args:
            path: The socket's file; an existing file is replaced.
            handle_command: Returns the answer to one decoded command.
        """
        self.path = Path(path)
        self.handle_command = handle_command
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens the socket.

        Raises:
            OSError: The file cannot be created.
        """
        self.path.unlink(missing_ok=True)
        self.server = await asyncio.start_unix_server(self.serve_client, str(self.path))
        self.path.chmod(OWNER_ONLY)

    async def serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one operator's commands until the connection ends."""
        try:
            while line := await reader.readline():
                try:
                    answer = self.handle_command(json.loads(line))
                except (ValueError, KeyError, TypeError) as error:
                    answer = {"error": f"{type(error).__name__}: {error}"}
                writer.write(json.dumps(answer).encode() + b"\n")
                await writer.drain()
        except (ConnectionError, ValueError):
            pass  # the operator disconnected or sent a line longer than the reader's limit
        finally:
            writer.close()

    def close(self) -> None:
        """Closes the socket and removes its file."""
        if self.server is not None:
            self.server.close()
            self.path.unlink(missing_ok=True)
