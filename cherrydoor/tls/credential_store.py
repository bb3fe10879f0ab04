"""Decides which credentials are in service and what becomes of connections accepted on others.

Pure: messages come in with the time, actions go out. Times in ms since 1970; no key material.

The four parts are independent, so that a fault in one leaves the others alone: the pair
(certificate and private key), the authorities, the revocation lists and the token keys. A part
that is rejected leaves the one in service.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, assert_never

from cherrydoor.tls import validation
from cherrydoor.tls.connections import ConnectionTable
from cherrydoor.tls.credentials import Authority, Pair, Part, RevocationList, TokenKey
from cherrydoor.tls.expiry import ExpiryPolicy, ExpiryWarnings
from cherrydoor.tls.messages import (
    Action,
    ConnectionClosed,
    ConnectionOpened,
    Message,
    Offered,
    PutInService,
    Rejected,
    Tick,
)

REVOKED_WHY = "this certificate is revoked"


@dataclass(slots=True)
class InService:
    """One part in service, and what was last rejected in its place.

    Attributes:
        content: Its records; None before the first.
        content_hash: Hash of the files that they were read from.
        retry: An offer that was rejected and is tried again as time passes.
        reported: The reason of the last rejection, so that it is reported once.
    """

    content: Any = None
    content_hash: str = ""
    retry: Offered | None = None
    reported: str = ""


@dataclass(frozen=True, slots=True)
class PartRules:
    """What is particular to one part.

    Attributes:
        rejection: Reason to reject an offered content; "" for none.
        replaced: Acts on open connections, given the old and the new content.
        replaces_nothing: Whether `replaced` is called for the first content too.
    """

    rejection: Callable[[Any], str]
    replaced: Callable[[Any, Any], None]
    replaces_nothing: bool = False


class CredentialStore:
    """The credentials in service and the connections that rest on them.

    Owned by the credential manager. `handle` is the only way to change it. The connection table
    is as large as there are connections; all else has the size of the files.
    """

    def __init__(self, policy: ExpiryPolicy) -> None:
        """Nothing is in service."""
        self.now_ms = 0.0
        self.actions: list[Action] = []
        self.parts = {part: InService() for part in Part}
        self.connections = ConnectionTable(policy)
        self.warnings = ExpiryWarnings(policy)
        self.rules: dict[Part, PartRules] = {
            Part.PAIR: PartRules(self._pair_rejection, self._pair_replaced),
            Part.AUTHORITIES: PartRules(self._authorities_rejection, self._authorities_replaced),
            Part.REVOKED: PartRules(
                self._revocations_rejection, self._revocations_replaced, replaces_nothing=True
            ),
            Part.TOKENS: PartRules(validation.token_keys_rejection, self._token_keys_replaced),
        }

    def handle(self, now_ms: float, message: Message) -> list[Action]:
        """Takes a message in, and returns the actions that follow, in order."""
        self.now_ms = now_ms
        self.actions = []
        match message:
            case Offered():
                self._offered(message)
            case ConnectionOpened():
                self._connection_opened(message)
            case ConnectionClosed():
                self.connections.remove(message.connection)
            case Tick():
                self._time_passed()
            case _:
                assert_never(message)
        return self.actions

    # ---- what is in service
    @property
    def pair(self) -> Pair | None:
        """The pair in service; None before the first."""
        content: Pair | None = self.parts[Part.PAIR].content
        return content

    @property
    def authorities(self) -> tuple[Authority, ...]:
        """Authorities in service."""
        content: tuple[Authority, ...] | None = self.parts[Part.AUTHORITIES].content
        return content or ()

    @property
    def revocations(self) -> tuple[RevocationList, ...]:
        """Revocation lists in service."""
        content: tuple[RevocationList, ...] | None = self.parts[Part.REVOKED].content
        return content or ()

    @property
    def token_keys(self) -> tuple[TokenKey, ...]:
        """Token keys in service."""
        content: tuple[TokenKey, ...] | None = self.parts[Part.TOKENS].content
        return content or ()

    def is_revoked(self, authority: str, serial: str) -> bool:
        """Whether a list in service revokes the authority's certificate of this serial number."""
        return bool(serial) and any(
            revocations.authority == authority and serial in revocations.serials
            for revocations in self.revocations
        )

    def token_key_permits(self, token_key_id: str, known_client: str) -> bool:
        """Whether tokens signed by this key may identify the client."""
        return any(
            token_key.id == token_key_id
            and (not token_key.known_clients or known_client in token_key.known_clients)
            for token_key in self.token_keys
        )

    def rejected(self) -> list[Rejected]:
        """What was last rejected, and why, of each part whose latest offer was."""
        return [
            Rejected(part, in_service.reported)
            for part, in_service in self.parts.items()
            if in_service.reported
        ]

    # ---- offers
    def _offered(self, offer: Offered) -> None:
        in_service = self.parts[offer.part]
        if offer.content_hash == in_service.content_hash and not offer.fault:
            in_service.retry = None
            in_service.reported = ""
            return
        rules = self.rules[offer.part]
        why = offer.fault or rules.rejection(offer.content)
        if why:
            self._reject(in_service, offer, why)
            return
        old = in_service.content
        in_service.content = offer.content
        in_service.content_hash = offer.content_hash
        in_service.retry = None
        in_service.reported = ""
        self.actions.append(PutInService(offer.part, offer.content_hash))
        if old is not None or rules.replaces_nothing:
            rules.replaced(old, offer.content)
        self._warn_of_expiry()

    def _reject(self, in_service: InService, offer: Offered, why: str) -> None:
        # Tried again, as a clock that is wrong now may be right later.
        in_service.retry = None if offer.fault else offer
        if why != in_service.reported:
            in_service.reported = why
            self.actions.append(Rejected(offer.part, why))

    def _pair_rejection(self, pair: Pair) -> str:
        return validation.pair_rejection(pair, self.now_ms)

    def _authorities_rejection(self, authorities: tuple[Authority, ...]) -> str:
        return validation.authorities_rejection(authorities, self.now_ms)

    def _revocations_rejection(self, offered: tuple[RevocationList, ...]) -> str:
        return validation.revocations_rejection(offered, self.revocations, self.authorities)

    # ---- open connections after a replacement
    def _pair_replaced(self, old: Pair, new: Pair) -> None:
        for connection in self.connections.open.values():
            deadline_ms = self.connections.grace_deadline(self.now_ms)
            self.connections.limit(connection, deadline_ms, "the gateway's certificate has changed")

    def _authorities_replaced(self, old: tuple[Authority, ...], new: tuple[Authority, ...]) -> None:
        removed = {authority.id for authority in old} - {authority.id for authority in new}
        for connection in self.connections.open.values():
            if connection.opened.authority in removed:
                deadline_ms = self.connections.grace_deadline(self.now_ms)
                self.connections.limit(
                    connection,
                    deadline_ms,
                    "the authority of this certificate is in service no more",
                )

    def _revocations_replaced(
        self, old: tuple[RevocationList, ...] | None, new: tuple[RevocationList, ...]
    ) -> None:
        for connection in self.connections.open.values():
            if self.is_revoked(connection.opened.authority, connection.opened.serial):
                self.actions.append(self.connections.end_now(connection, self.now_ms, REVOKED_WHY))

    def _token_keys_replaced(self, old: tuple[TokenKey, ...], new: tuple[TokenKey, ...]) -> None:
        # At once: removing its key is the only way to revoke a token.
        ids = {token_key.id for token_key in new}
        for connection in self.connections.open.values():
            token = connection.opened.token
            if token and token not in ids:
                self.actions.append(
                    self.connections.end_now(
                        connection, self.now_ms, "the key of this token is in service no more"
                    )
                )

    # ---- connections and time
    def _connection_opened(self, opened: ConnectionOpened) -> None:
        connection = self.connections.add(opened)
        if self.is_revoked(opened.authority, opened.serial):
            self.actions.append(self.connections.end_now(connection, self.now_ms, REVOKED_WHY))
        elif opened.expires_ms:
            self.connections.limit(
                connection, opened.expires_ms, "what this client proved itself by has ended"
            )

    def _time_passed(self) -> None:
        self.actions.extend(self.connections.end_due(self.now_ms))
        for in_service in self.parts.values():
            offer = in_service.retry
            if offer is not None:
                in_service.retry = None
                self._offered(offer)
        self._warn_of_expiry()

    def _warn_of_expiry(self) -> None:
        certificates = []
        if self.pair is not None:
            certificates.append((f"certificate {self.pair.name}", self.pair.not_after_ms))
        for authority in self.authorities:
            certificates.append((f"authority {authority.name}", authority.not_after_ms))
        self.actions.extend(self.warnings.due(self.now_ms, certificates))
