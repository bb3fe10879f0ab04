"""Reads credential files whenever they change, and puts in service what the store accepts."""

import asyncio
import os
import time
from collections.abc import Callable, Iterator
from ssl import SSLContext
from typing import Any, NamedTuple, assert_never

import structlog

from cherrydoor.tls import credential_files
from cherrydoor.tls.credential_files import (
    AuthoritiesFile,
    PairFile,
    RevocationsFile,
    TokenKeysFile,
)
from cherrydoor.tls.credential_store import CredentialStore
from cherrydoor.tls.credentials import Part
from cherrydoor.tls.errors import CredentialRejectedError, InvalidCredentialsError
from cherrydoor.tls.expiry import DAY_MS
from cherrydoor.tls.messages import (
    Action,
    EndConnection,
    ExpiryWarning,
    Message,
    Offered,
    PutInService,
    Rejected,
    Tick,
)
from cherrydoor.tls.peer_authentication import PeerAuthenticator, PeerIdentity
from cherrydoor.tls.settings import CredentialSettings
from cherrydoor.tls.tls_context import make_context

log = structlog.get_logger()

# Interval between reads of the files while a start finds invalid content. Replacing two files takes
# less time, so a start during a replacement is rarely delayed by more than one interval.
START_RETRY_S = 0.1

CredentialFile = PairFile | AuthoritiesFile | RevocationsFile | TokenKeysFile


class FileStamp(NamedTuple):
    """File metadata that shows whether a file has changed, without reading the file.

    Attributes:
        modified_ns: Time of the last modification, or the error number if `stat` failed.
        size: Size in bytes.
        inode: Inode number, which changes if the file is replaced.
    """

    modified_ns: int
    size: int = 0
    inode: int = 0


def file_stamp(path: str) -> FileStamp:
    """Returns the current stamp of the file."""
    try:
        status = os.stat(path)
    except OSError as error:
        return FileStamp(error.errno or 0)
    return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)


def wall_clock_ms() -> float:
    """Returns the time in ms since 1970."""
    return time.time() * 1000


class CredentialManager:
    """The credentials of one gateway.

    Invalid credentials at the start raise an error. Later they are logged, and the previous
    credentials stay in service. Owns the store, the TLS contexts and the key material.

    Attributes:
        server: TLS context of the listeners; None until a pair is in service.
        peer: TLS context for connections to other gateways; None until a pair is in service.
        client: TLS context for connections to hosts; None if hosts are connected to without TLS.
    """

    def __init__(
        self,
        settings: CredentialSettings,
        end_connection: Callable[[Any, str, bool], None],
        wall_clock: Callable[[], float] = wall_clock_ms,
    ) -> None:
        """Creates a manager. `start` reads the files.

        Args:
            settings: Paths of the files and how the credentials are used.
            end_connection: Called with a connection that must end, the reason, and whether it must
                end at once.
            wall_clock: Returns the time in ms since 1970.
        """
        self.settings = settings
        self.end_connection = end_connection
        self.wall_clock = wall_clock
        self.store = CredentialStore(settings.expiry)
        self.authenticator = PeerAuthenticator(self.store, wall_clock)
        self.loaded: dict[Part, CredentialFile] = {}
        self.stamps: list[FileStamp] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.server: SSLContext | None = None
        self.client: SSLContext | None = None
        self.peer: SSLContext | None = None
        self.chain = b""
        self.private_key = b""

    @property
    def uses_tls(self) -> bool:
        """Whether the listeners use TLS."""
        return bool(self.settings.certificate)

    async def start(self) -> None:
        """Puts the credentials in the files in service, and starts polling the files.

        A gateway may start while the two files of a pair are being replaced one after the other.
        Rejected files are therefore read again until `start_timeout_ms` has passed. In return, the
        error for files that stay invalid is raised later.

        Raises:
            CredentialRejectedError: A part is still rejected after that time.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self.settings.start_timeout_ms / 1000
        poll_interval_s = self.settings.poll_interval_ms / 1000
        self.reload_changed_files(True)
        # Asks the store what is rejected now, because `reload_changed_files` returns each rejection
        # only once.
        while rejections := self.store.rejections():
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0:
                raise CredentialRejectedError(rejections[0].part, rejections[0].reason)
            await asyncio.sleep(min(remaining_s, START_RETRY_S, poll_interval_s))
            self.reload_changed_files(True)
        if self.settings.paths():
            self.timer = loop.call_later(poll_interval_s, self._poll)

    def close(self) -> None:
        """Stops polling."""
        if self.timer is not None:
            self.timer.cancel()

    def reload_changed_files(self, force: bool = False) -> list[Rejected]:
        """Reads all files if any of them has changed.

        Args:
            force: Read the files even if none has changed.

        Returns:
            The rejections that have not been returned before.
        """
        stamps = [file_stamp(path) for path in self.settings.paths()]
        if stamps == self.stamps and not force:
            return []
        self.stamps = stamps
        rejected: list[Rejected] = []
        for part, read in self._readers():
            try:
                loaded = read()
            except InvalidCredentialsError as error:
                offer = Offered(part, "", None, str(error))
            else:
                self.loaded[part] = loaded
                offer = Offered(part, loaded.content_hash, loaded.content)
            rejected += [action for action in self.post(offer) if isinstance(action, Rejected)]
        return rejected

    def post(self, message: Message) -> list[Action]:
        """Passes a message to the store, and carries out the resulting actions."""
        actions = self.store.handle(self.wall_clock(), message)
        for action in actions:
            match action:
                case PutInService(part=part):
                    self._put_in_service(part)
                case Rejected(part=part, reason=reason):
                    log.error(
                        "keys are rejected, the old ones stay in service",
                        part=part.value,
                        why=reason,
                    )
                case ExpiryWarning():
                    self._log_expiry(action)
                case EndConnection():
                    self.end_connection(action.connection, action.reason, action.at_once)
                case _:
                    assert_never(action)
        return actions

    def identify(self, transport: asyncio.BaseTransport, token: str) -> PeerIdentity:
        """Returns the identity of the peer of a connection.

        Raises:
            PeerAuthenticationError: The peer's certificate or token is not valid.
        """
        return self.authenticator.identify(transport, token)

    def _poll(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(
            self.settings.poll_interval_ms / 1000, self._poll
        )
        self.reload_changed_files()
        self.post(Tick())

    def _readers(self) -> Iterator[tuple[Part, Callable[[], CredentialFile]]]:
        """Yields each configured part with the function that reads it.

        The order matters: revocation lists are verified with the authorities that were put in
        service before them.
        """
        paths = self.settings
        if paths.certificate:
            yield (
                Part.PAIR,
                lambda: credential_files.read_pair(paths.certificate, paths.key),
            )
        if paths.authorities:
            yield Part.AUTHORITIES, lambda: credential_files.read_authorities(paths.authorities)
        if paths.revoked:
            yield (
                Part.REVOKED,
                lambda: credential_files.read_revocations(
                    paths.revoked, self.authenticator.trusted
                ),
            )
        if paths.tokens:
            yield Part.TOKENS, lambda: credential_files.read_token_keys(paths.tokens)

    def _put_in_service(self, part: Part) -> None:
        loaded = self.loaded[part]
        match loaded:
            case AuthoritiesFile():
                self.authenticator.trusted = tuple(loaded.certificates)
            case TokenKeysFile():
                self.authenticator.token_keys = loaded.keys
            case PairFile():
                self.chain = loaded.chain
                self.private_key = loaded.private_key
            case RevocationsFile():
                pass  # Only the records in the store are used.
            case _:
                assert_never(loaded)
        log.info("keys are in service", part=part.value)
        if part in (Part.PAIR, Part.AUTHORITIES):
            self._make_contexts()

    def _make_contexts(self) -> None:
        trusted = self.authenticator.trusted
        if self.store.pair is not None:
            self.server = make_context(
                True,
                self.chain,
                self.private_key,
                trusted,
                self.settings.client_certificates.verify_mode,
            )
            self.peer = make_context(False, self.chain, self.private_key, trusted)
        if self.settings.upstream_tls:
            self.client = make_context(False, self.chain, self.private_key, trusted)

    def _log_expiry(self, warning: ExpiryWarning) -> None:
        days = round(warning.remaining_ms / DAY_MS, 2)
        if warning.remaining_ms > 0:
            log.warning("a key expires soon", key=warning.credential, days=days)
        else:
            log.error("a key has expired", key=warning.credential, days=days)
