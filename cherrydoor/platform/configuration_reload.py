"""Reload at SIGHUP of the discovery server's address and the known endpoints."""

import asyncio
from pathlib import Path
from typing import Any

from cherrydoor.platform import configuration
from cherrydoor.platform.settings import ConfigurationError

# Delays before an invalid file is read again, by the number of retries so far: it may have been
# read while it was being written. The only cost of a retry is the read.
RETRY_DELAYS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)


class ConfigurationReload:
    """Reads the configuration file again; an invalid file changes nothing.

    Args:
        service: The gateway's service.
        path: The configuration file.
    """

    def __init__(self, service: Any, path: str | Path) -> None:
        self.service = service
        self.path = path
        self.retry: asyncio.TimerHandle | None = None

    def start(self, retries: int = 0) -> None:
        """Reads and applies the file; after an invalid file it retries with a backoff.

        Args:
            retries: Number of retries since the signal.
        """
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        service = self.service
        # The server may have changed: from the signal on, the old one must not confirm the endpoint
        # list, even though it still sends.
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
        """Reads the file, even if clients use all descriptors, by means of the spare descriptor."""
        service = self.service
        service.usage.release_spare_descriptor()
        try:
            current = service.configuration
            return configuration.read(self.path, current.listen, current.descriptors)
        finally:
            service.usage.reserve_spare_descriptor()
