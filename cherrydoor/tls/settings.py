"""Paths and use of the credentials, from the `keys` section of the configuration."""

import ssl
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Self

from cherrydoor.tls.expiry import ExpiryPolicy


class ClientCertificates(StrEnum):
    """Whether clients are asked for certificates. The values are those of the configuration."""

    ASK = "ask"
    NEED = "need"
    NONE = "none"

    @property
    def verify_mode(self) -> ssl.VerifyMode:
        """Verification mode of the listeners' TLS context."""
        return VERIFY_MODES[self]


VERIFY_MODES = {
    ClientCertificates.ASK: ssl.CERT_OPTIONAL,
    ClientCertificates.NEED: ssl.CERT_REQUIRED,
    ClientCertificates.NONE: ssl.CERT_NONE,
}


@dataclass(frozen=True, slots=True)
class CredentialSettings:
    """Paths of the credentials of one gateway ("" for none), and how they are used.

    Attributes:
        certificate: The gateway's certificate chain.
        key: The private key of the certificate.
        authorities: Authorities that sign the certificates of peers.
        revoked: Revocation lists of these authorities.
        tokens: Public keys that verify client tokens.
        client_certificates: Whether clients are asked for certificates.
        upstream_tls: Whether hosts are connected to over TLS.
        poll_interval_ms: Time between checks of the files.
        start_timeout_ms: How long a start waits for files that are being replaced.
        expiry: Grace period of replaced credentials, and times of expiry warnings.
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
        """Creates settings from arguments named as the keys of the section; times in ms."""
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
        """Returns the paths of all configured files."""
        named = (self.certificate, self.key, self.authorities, self.revoked, self.tokens)
        return [path for path in named if path]
