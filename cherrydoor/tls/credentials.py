"""Records of the four parts of the credentials, without key material. Times are ms since 1970."""

from dataclasses import dataclass
from enum import StrEnum


class Part(StrEnum):
    """Part of the credentials that is replaced independently of the others."""

    PAIR = "pair"
    AUTHORITIES = "authorities"
    REVOKED = "revoked"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Pair:
    """The gateway's certificate with its private key.

    Attributes:
        serial: Serial number of the certificate, in hexadecimal.
        name: Common name of its subject.
        not_before_ms: Start of its validity.
        not_after_ms: End of its validity.
        key_matches: Whether the private key belongs to the certificate.
    """

    serial: str
    name: str
    not_before_ms: float
    not_after_ms: float
    key_matches: bool = True


@dataclass(frozen=True, slots=True)
class Authority:
    """A trusted certificate authority, which signs the certificates of peers.

    Attributes:
        id: SHA-256 fingerprint of its certificate.
        name: Common name of its subject.
        not_before_ms: Start of its validity.
        not_after_ms: End of its validity.
    """

    id: str
    name: str
    not_before_ms: float
    not_after_ms: float


@dataclass(frozen=True, slots=True)
class RevocationList:
    """Certificates that one authority has revoked.

    Attributes:
        authority: Id of the authority, or its name if it is not in service.
        number: Number of the list, which increases with each new list (RFC 5280, section 5.2.3).
        serials: Serial numbers of the revoked certificates, in hexadecimal.
        signature_verified: Whether the list is signed by an authority in service.
    """

    authority: str
    number: int
    serials: frozenset[str]
    signature_verified: bool = True


@dataclass(frozen=True, slots=True)
class TokenKey:
    """A public key that verifies client tokens.

    Attributes:
        id: The key id, `kid` (RFC 7517, section 4.5).
        known_clients: Clients whose tokens it may sign; empty for all clients.
    """

    id: str
    known_clients: tuple[str, ...] = ()
