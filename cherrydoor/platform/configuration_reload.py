"""The reload at SIGHUP: the endpoint stream's server and the known endpoints are read anew."""

import asyncio
from pathlib import Path
from typing import Any

from cherrydoor.platform import configuration
from cherrydoor.platform.settings import ConfigurationError

# Before a file that could not be used is read once more, by how often it was: it may have been
# half written. Harms by nothing but the reads.
RETRY_DELAYS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)


class ConfigurationReload:
    """Reads the configuration file anew; one that cannot be used changes nothing.

    Args:
        service: The gateway's service.
        path: The configuration file.
    """

    def __init__(self, service: Any, path: str | Path) -> None:
        self.service = service
        self.path = path
        self.retry: asyncio.TimerHandle | None = None

    def start(self, retries: int = 0) -> None:
        """Reads the file and applies it; a file that cannot be used is retried for a while.

        Args:
            retries: How often the file was read since the signal.
        """
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        service = self.service
        # From the signal on the old server may tell nothing further, though it still speaks.
        service.discovery_watch.suspend()
        try:
            new = self.read()
        except ConfigurationError as error:
            if retries < len(RETRY_DELAYS_S):
                self.retry = service.loop.call_later(
                    RETRY_DELAYS_S[retries], self.start, retries + 1
                )
            else:
                service.discovery_watch.resume()
            service.log.write_limited("configuration rejected", reason=str(error))
            return
        watch = service.discovery_watch
        for update in new.known_endpoints.updates:
            watch.update_received(update)
        watch.move(new.discovery_server)
        watch.resume()
        service.log.write_limited(
            "configuration reloaded",
            discovery_server=new.discovery_server,
            last_revision=watch.last_revision,
        )

    def read(self) -> configuration.Configuration:
        """Reads the file, also where clients have all descriptors."""
        service = self.service
        service.usage.release_spare_descriptor()
        try:
            current = service.configuration
            return configuration.read(self.path, current.listen, current.descriptors)
        finally:
            service.usage.reserve_spare_descriptor()
