"""The socket by which an operator speaks to a running gateway: one JSON object a line, one answer each."""

import asyncio
import json
from pathlib import Path


class ControlSocket:
    """obey(said) gives the answer to one object; faults go back as {"error": ...}. The file is its owner's alone."""

    def __init__(self, path, obey):
        self.path, self.obey, self.server = Path(path), obey, None

    async def start(self):
        self.path.unlink(missing_ok=True)
        self.server = await asyncio.start_unix_server(self.spoken_to, str(self.path))
        self.path.chmod(0o600)

    async def spoken_to(self, reader, writer):
        try:
            while line := await reader.readline():
                try:
                    answer = self.obey(json.loads(line))
                except (ValueError, KeyError, TypeError) as error:
                    answer = {"error": f"{type(error).__name__}: {error}"}
                writer.write(json.dumps(answer).encode() + b"\n")
                await writer.drain()
        except (ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    def close(self):
        if self.server is not None:
            self.server.close()
            self.path.unlink(missing_ok=True)
