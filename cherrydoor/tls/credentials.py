"""Records of the four parts of the credentials. Times in ms since 1970; no key material."""

from dataclasses import dataclass
from enum import StrEnum


class Part(StrEnum):
    """A part of the credentials that is replaced independently of the others."""

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
    """A certificate authority that peers are trusted by.

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
        authority: Id of the authority; its name where it is not in service.
        number: Number of the list, increased by each new one (RFC 5280, 5.2.3).
        serials: Serial numbers of the revoked certificates, in hexadecimal.
        signature_verified: Whether an authority in service signed it.
    """

    authority: str
    number: int
    serials: frozenset[str]
    signature_verified: bool = True


@dataclass(frozen=True, slots=True)
class TokenKey:
    """A public key by which client tokens are verified.

    Attributes:
        id: Its `kid` (RFC 7517, 4.5).
        known_clients: Clients whose tokens it may sign; empty for all.
    """

    id: str
    known_clients: tuple[str, ...] = ()
