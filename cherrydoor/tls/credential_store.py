"""Decides which credentials are in service, and when connections with other credentials end.

The store does no I/O: callers pass in messages with the current time and carry out the actions that
are returned. Times are ms since 1970. The store holds no key material.

The credentials have four parts: the pair (certificate and private key), the authorities, the
revocation lists and the token keys. The parts are independent, so an error in one does not affect
the others. If new content of a part is rejected, the previous content stays in service.
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

REVOKED_REASON = "this certificate is revoked"


@dataclass(slots=True)
class InService:
    """The content of one part that is in service, and the last rejected offer.

    Attributes:
        content: The records; None before the first.
        content_hash: Hash of the files that the records were read from.
        retry_offer: A rejected offer that is checked again at each tick.
        reported_reason: The reason of the last rejection, kept so that it is reported only once;
            empty if the latest offer was accepted.
    """

    content: Any = None
    content_hash: str = ""
    retry_offer: Offered | None = None
    reported_reason: str = ""


@dataclass(frozen=True, slots=True)
class PartRules:
    """The functions that handle one part.

    Attributes:
        rejection_reason: Returns the reason to reject offered content; "" to accept it.
        on_replaced: Applies a replacement to open connections, given the old and the new content.
        call_for_first_content: Whether `on_replaced` is also called for the first content.
    """

    rejection_reason: Callable[[Any], str]
    on_replaced: Callable[[Any, Any], None]
    call_for_first_content: bool = False


class CredentialStore:
    """The credentials in service, and the open connections that were accepted with them.

    Owned by the credential manager, which changes it only through `handle`. The connection table
    has one entry per open connection; the size of everything else is bounded by that of the files.
    """

    def __init__(self, policy: ExpiryPolicy) -> None:
        """Creates a store without credentials in service."""
        self.now_ms = 0.0
        self.actions: list[Action] = []
        self.parts = {part: InService() for part in Part}
        self.connections = ConnectionTable(policy)
        self.warnings = ExpiryWarnings(policy)
        self.rules: dict[Part, PartRules] = {
            Part.PAIR: PartRules(self._pair_rejection_reason, self._pair_replaced),
            Part.AUTHORITIES: PartRules(
                self._authorities_rejection_reason, self._authorities_replaced
            ),
            Part.REVOKED: PartRules(
                self._revocations_rejection_reason,
                self._revocations_replaced,
                call_for_first_content=True,
            ),
            Part.TOKENS: PartRules(
                validation.token_keys_rejection_reason, self._token_keys_replaced
            ),
        }

    def handle(self, now_ms: float, message: Message) -> list[Action]:
        """Processes a message; returns the resulting actions in order."""
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
        """Pair in service; None before the first."""
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
        """Returns whether a list in service revokes this certificate of the authority."""
        return bool(serial) and any(
            revocations.authority == authority and serial in revocations.serials
            for revocations in self.revocations
        )

    def token_key_permits(self, token_key_id: str, known_client: str) -> bool:
        """Returns whether tokens signed with this key may identify the client."""
        return any(
            token_key.id == token_key_id
            and (not token_key.known_clients or known_client in token_key.known_clients)
            for token_key in self.token_keys
        )

    def rejections(self) -> list[Rejected]:
        """Returns the rejection of each part whose latest offer was rejected."""
        return [
            Rejected(part, in_service.reported_reason)
            for part, in_service in self.parts.items()
            if in_service.reported_reason
        ]

    # ---- offers
    def _offered(self, offer: Offered) -> None:
        in_service = self.parts[offer.part]
        if offer.content_hash == in_service.content_hash and not offer.read_error:
            in_service.retry_offer = None
            in_service.reported_reason = ""
            return
        rules = self.rules[offer.part]
        reason = offer.read_error or rules.rejection_reason(offer.content)
        if reason:
            self._reject(in_service, offer, reason)
            return
        old = in_service.content
        in_service.content = offer.content
        in_service.content_hash = offer.content_hash
        in_service.retry_offer = None
        in_service.reported_reason = ""
        self.actions.append(PutInService(offer.part, offer.content_hash))
        if old is not None or rules.call_for_first_content:
            rules.on_replaced(old, offer.content)
        self._warn_of_expiry()

    def _reject(self, in_service: InService, offer: Offered, reason: str) -> None:
        # The offer is checked again later: the rejection may be due to a wrong clock.
        in_service.retry_offer = None if offer.read_error else offer
        if reason != in_service.reported_reason:
            in_service.reported_reason = reason
            self.actions.append(Rejected(offer.part, reason))

    def _pair_rejection_reason(self, pair: Pair) -> str:
        return validation.pair_rejection_reason(pair, self.now_ms)

    def _authorities_rejection_reason(self, authorities: tuple[Authority, ...]) -> str:
        return validation.authorities_rejection_reason(authorities, self.now_ms)

    def _revocations_rejection_reason(self, offered: tuple[RevocationList, ...]) -> str:
        return validation.revocations_rejection_reason(offered, self.revocations, self.authorities)

    # ---- open connections after a replacement
    def _pair_replaced(self, old: Pair, new: Pair) -> None:
        for connection in self.connections.open.values():
            deadline_ms = self.connections.grace_deadline(self.now_ms)
            self.connections.bring_deadline_forward(
                connection, deadline_ms, "the gateway's certificate has changed"
            )

    def _authorities_replaced(self, old: tuple[Authority, ...], new: tuple[Authority, ...]) -> None:
        removed = {authority.id for authority in old} - {authority.id for authority in new}
        for connection in self.connections.open.values():
            if connection.opened.authority in removed:
                deadline_ms = self.connections.grace_deadline(self.now_ms)
                self.connections.bring_deadline_forward(
                    connection,
                    deadline_ms,
                    "the authority of this certificate is in service no more",
                )

    def _revocations_replaced(
        self, old: tuple[RevocationList, ...] | None, new: tuple[RevocationList, ...]
    ) -> None:
        for connection in self.connections.open.values():
            if self.is_revoked(connection.opened.authority, connection.opened.serial):
                self.actions.append(
                    self.connections.end_now(connection, self.now_ms, REVOKED_REASON)
                )

    def _token_keys_replaced(self, old: tuple[TokenKey, ...], new: tuple[TokenKey, ...]) -> None:
        # Connections end at once, because removing its key is the only way to revoke a token.
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
            self.actions.append(self.connections.end_now(connection, self.now_ms, REVOKED_REASON))
        elif opened.expires_ms:
            self.connections.bring_deadline_forward(
                connection, opened.expires_ms, "what this client proved itself by has ended"
            )

    def _time_passed(self) -> None:
        self.actions.extend(self.connections.end_due(self.now_ms))
        for in_service in self.parts.values():
            offer = in_service.retry_offer
            if offer is not None:
                in_service.retry_offer = None
                self._offered(offer)
        self._warn_of_expiry()

    def _warn_of_expiry(self) -> None:
        certificates = []
        if self.pair is not None:
            certificates.append((f"certificate {self.pair.name}", self.pair.not_after_ms))
        for authority in self.authorities:
            certificates.append((f"authority {authority.name}", authority.not_after_ms))
        self.actions.extend(self.warnings.due(self.now_ms, certificates))
