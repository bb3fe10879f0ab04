"""Authenticates peers by the certificates and tokens that they present."""

from asyncio import BaseTransport
from collections.abc import Callable
from typing import Any, NamedTuple, TypedDict

import jwt
from cryptography import x509

from cherrydoor.tls.credential_store import REVOKED_REASON, CredentialStore
from cherrydoor.tls.errors import PeerAuthenticationError
from cherrydoor.tls.x509_fields import (
    common_name,
    epoch_ms,
    find_issuer,
    fingerprint,
    serial_hex,
)

TOKEN_AUDIENCE = "cherrydoor"
TOKEN_ALGORITHM = "EdDSA"


class PeerCredentials(TypedDict, total=False):
    """The credentials a peer was accepted with, as fields of `messages.ConnectionOpened`."""

    serial: str
    authority: str
    token: str
    expires_ms: float


class PeerIdentity(NamedTuple):
    """Identity of a peer, and the credentials that prove it.

    `known_client` is "" if the peer presented neither a certificate nor a token.
    """

    known_client: str
    credentials: PeerCredentials


class VerifiedToken(NamedTuple):
    """A valid token: its client, the id of its key and its expiry in ms since 1970."""

    known_client: str
    key_id: str
    expires_ms: float


class PeerAuthenticator:
    """Verifies peers with the credentials in service.

    Owned by the credential manager, which sets `trusted` and `token_keys` when they are put in
    service.
    """

    def __init__(self, store: CredentialStore, wall_clock_ms: Callable[[], float]) -> None:
        """Creates an authenticator that trusts no authority or token key yet.

        Args:
            store: Tells what is revoked and which clients each token key may identify.
            wall_clock_ms: Returns the time in ms since 1970.
        """
        self.store = store
        self.wall_clock_ms = wall_clock_ms
        self.trusted: tuple[x509.Certificate, ...] = ()
        self.token_keys: dict[str, Any] = {}

    def identify(self, transport: BaseTransport, token: str) -> PeerIdentity:
        """Returns the identity of the peer of a connection.

        The handshake has verified the certificate, but possibly with credentials that have been
        replaced since. The certificate is therefore verified again with those in service.

        Raises:
            PeerAuthenticationError: The certificate or the token is not valid.
        """
        known_client = ""
        credentials: PeerCredentials = {}
        tls = transport.get_extra_info("ssl_object")
        der = tls.getpeercert(True) if tls is not None else None
        if der:
            certificate = x509.load_der_x509_certificate(der)
            known_client = common_name(certificate.subject)
            credentials = self._verify_certificate(certificate)
        if token:
            verified = self._verify_token(token)
            if known_client and verified.known_client != known_client:
                raise PeerAuthenticationError("certificate and token speak for different clients")
            known_client = verified.known_client
            expires_ms = min(
                verified.expires_ms, credentials.get("expires_ms", verified.expires_ms)
            )
            credentials["token"] = verified.key_id
            credentials["expires_ms"] = expires_ms
        return PeerIdentity(known_client, credentials)

    def _verify_certificate(self, certificate: x509.Certificate) -> PeerCredentials:
        issuer = find_issuer(certificate, self.trusted)
        if issuer is None:
            raise PeerAuthenticationError("the authority of this certificate is in service no more")
        authority = fingerprint(issuer)
        serial = serial_hex(certificate)
        if self.store.is_revoked(authority, serial):
            raise PeerAuthenticationError(REVOKED_REASON)
        return {
            "serial": serial,
            "authority": authority,
            "expires_ms": epoch_ms(certificate.not_valid_after_utc),
        }

    def _verify_token(self, token: str) -> VerifiedToken:
        key_id = self._key_id(token)
        if key_id not in self.token_keys:
            raise PeerAuthenticationError("the key of this token is not in service")
        try:
            # The expiry is checked below, against the same clock as everything else.
            claims = jwt.decode(
                token,
                self.token_keys[key_id],
                [TOKEN_ALGORITHM],
                {"require": ["exp", "sub", "aud"], "verify_exp": False, "verify_iat": False},
                audience=TOKEN_AUDIENCE,
            )
        except jwt.exceptions.PyJWTError as error:
            raise PeerAuthenticationError(f"this token does not hold: {error}") from None
        expires_ms = float(claims["exp"]) * 1000
        if expires_ms <= self.wall_clock_ms():
            raise PeerAuthenticationError("this token has ended")
        known_client = claims["sub"]
        if not self.store.token_key_permits(key_id, known_client):
            raise PeerAuthenticationError("the key of this token may not speak for this client")
        return VerifiedToken(known_client, key_id, expires_ms)

    def _key_id(self, token: str) -> str:
        try:
            return str(jwt.get_unverified_header(token).get("kid", ""))
        except jwt.exceptions.PyJWTError:
            raise PeerAuthenticationError("this is no token") from None
