"""Where the credentials are and how they are used, from the `keys` section of the configuration."""

import ssl
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Self

from cherrydoor.tls.expiry import ExpiryPolicy


class ClientCertificates(StrEnum):
    """Whether clients are asked for certificates, by the values of the configuration."""

    ASK = "ask"
    NEED = "need"
    NONE = "none"

    @property
    def verify_mode(self) -> ssl.VerifyMode:
        """The mode of a server's context."""
        return VERIFY_MODES[self]


VERIFY_MODES = {
    ClientCertificates.ASK: ssl.CERT_OPTIONAL,
    ClientCertificates.NEED: ssl.CERT_REQUIRED,
    ClientCertificates.NONE: ssl.CERT_NONE,
}


@dataclass(frozen=True, slots=True)
class CredentialSettings:
    """Files of one gateway's credentials ("" for none), and how they are used.

    Attributes:
        certificate: The gateway's certificate chain.
        key: Its private key.
        authorities: Authorities that peers are trusted by.
        revoked: Revocation lists of these authorities.
        tokens: Public keys of client tokens.
        client_certificates: Whether clients are asked for certificates.
        upstream_tls: Whether hosts are connected to over TLS.
        poll_interval_ms: Time between checks of the files.
        start_timeout_ms: How long a start waits for files that are just being replaced.
        expiry: When connections of replaced credentials end, and when expiry is warned of.
    """

    certificate: str = ""
    key: str = ""
    authorities: str = ""
    revoked: str = ""
    tokens: str = ""
    client_certificates: ClientCertificates = ClientCertificates.ASK
    upstream_tls: bool = False
    poll_interval_ms: float = 1000.0
    start_timeout_ms: float = 0.0
    expiry: ExpiryPolicy = field(default_factory=ExpiryPolicy)

    @classmethod
    def from_config_keys(
        cls,
        certificate: str = "",
        key: str = "",
        authorities: str = "",
        revoked: str = "",
        tokens: str = "",
        clients: str = "ask",
        hosts: bool = False,
        look: float = 1000.0,
        usage: ExpiryPolicy | None = None,
        settle: float = 0.0,
    ) -> Self:
        """Settings from values named as in the configuration's `keys` section; times in ms."""
        return cls(
            certificate,
            key,
            authorities,
            revoked,
            tokens,
            client_certificates=ClientCertificates(clients),
            upstream_tls=hosts,
            poll_interval_ms=look,
            start_timeout_ms=settle,
            expiry=usage or ExpiryPolicy(),
        )

    def paths(self) -> list[str]:
        """All files that are named."""
        named = (self.certificate, self.key, self.authorities, self.revoked, self.tokens)
        return [path for path in named if path]
