"""Reads the credential files as they change, and puts in service what the store accepts."""

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

# Seconds between reads during a start whose files are rejected: a replacement of two files takes
# less, so that a start is hardly delayed by more than one.
START_RETRY_S = 0.1

CredentialFile = PairFile | AuthoritiesFile | RevocationsFile | TokenKeysFile


class FileStamp(NamedTuple):
    """What tells that a file has been changed, without reading it.

    Attributes:
        modified_ns: Time of the last change; the error number where the file cannot be seen.
        size: In bytes.
        inode: Changes where the file is replaced whole.
    """

    modified_ns: int
    size: int = 0
    inode: int = 0


def file_stamp(path: str) -> FileStamp:
    """The stamp of the file as it is now."""
    try:
        status = os.stat(path)
    except OSError as error:
        return FileStamp(error.errno or 0)
    return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)


def wall_clock_ms() -> float:
    """Time in ms since 1970."""
    return time.time() * 1000


class CredentialManager:
    """The credentials of one gateway.

    Faults at the start are errors; later ones are logged, and the credentials before stay in
    service. Owns the store, the TLS contexts and the key material.

    Attributes:
        server: Context of the listeners; None before a pair is in service.
        peer: Context for connections to other gateways; None before a pair is in service.
        client: Context for connections to hosts; None where they are made without TLS.
    """

    def __init__(
        self,
        settings: CredentialSettings,
        end_connection: Callable[[Any, str, bool], None],
        wall_clock: Callable[[], float] = wall_clock_ms,
    ) -> None:
        """Nothing is read before `start`.

        Args:
            settings: The files and their use.
            end_connection: Called with a connection, why it must end, and whether at once.
            wall_clock: The time in ms since 1970.
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
    def sealed(self) -> bool:
        """Whether the listeners use TLS."""
        return bool(self.settings.certificate)

    async def start(self) -> None:
        """Puts in service what the files hold, and polls them from then on.

        Guards against a start at the moment in which a pair is replaced, file after file, by
        reading again until `start_timeout_ms`. Harms by a later error for files that stay bad.

        Raises:
            CredentialRejectedError: A part is still rejected after that time.
        """
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + self.settings.start_timeout_ms / 1000
        poll_interval_s = self.settings.poll_interval_ms / 1000
        self.look(True)
        # What counts is what is rejected now: a rejection is reported once only.
        while rejected := self.store.rejected():
            left_s = give_up_s - loop.time()
            if left_s <= 0:
                raise CredentialRejectedError(rejected[0].part, rejected[0].why)
            await asyncio.sleep(min(left_s, START_RETRY_S, poll_interval_s))
            self.look(True)
        if self.settings.paths():
            self.timer = loop.call_later(poll_interval_s, self._poll)

    def close(self) -> None:
        """Stops polling."""
        if self.timer is not None:
            self.timer.cancel()

    def look(self, whole: bool = False) -> list[Rejected]:
        """Reads the files if any has changed.

        Args:
            whole: Read them even if none has changed.

        Returns:
            The rejections that were not reported before.
        """
        stamps = [file_stamp(path) for path in self.settings.paths()]
        if stamps == self.stamps and not whole:
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
        """Gives a message to the store, and carries out the actions."""
        actions = self.store.handle(self.wall_clock(), message)
        for action in actions:
            match action:
                case PutInService(part=part):
                    self._put_in_service(part)
                case Rejected(part=part, why=why):
                    log.error(
                        "keys are rejected, the old ones stay in service", part=part.value, why=why
                    )
                case ExpiryWarning():
                    self._log_expiry(action)
                case EndConnection():
                    self.end_connection(action.connection, action.why, action.at_once)
                case _:
                    assert_never(action)
        return actions

    def identify(self, transport: asyncio.BaseTransport, token: str) -> PeerIdentity:
        """Who is at the other end of a connection.

        Raises:
            PeerAuthenticationError: What it presents does not hold.
        """
        return self.authenticator.identify(transport, token)

    def _poll(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(
            self.settings.poll_interval_ms / 1000, self._poll
        )
        self.look()
        self.post(Tick())

    def _readers(self) -> Iterator[tuple[Part, Callable[[], CredentialFile]]]:
        """How each part that is configured is read.

        The order matters: revocation lists are verified by the authorities put in service before.
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
                pass  # The store's records are all that is used of it.
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
        days = round(warning.left_ms / DAY_MS, 2)
        if warning.left_ms > 0:
            log.warning("a key expires soon", key=warning.credential, days=days)
        else:
            log.error("a key has expired", key=warning.credential, days=days)
