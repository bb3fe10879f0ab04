"""A local authority in a folder: certificates, revocation lists, token keys and tokens.

Used by deployments without their own certificate authority, and by rehearsals and tests. Each file
is replaced atomically. Private keys are readable only by their owner.
"""

import json
import os
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import jwt
from cryptography import x509
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519

from cherrydoor.tls.certificate_builder import (
    CertificateKind,
    Signer,
    build_authority,
    build_certificate,
    build_revocation_list,
)
from cherrydoor.tls.errors import LocalAuthorityError
from cherrydoor.tls.file_writing import private_pem, write_private, write_public
from cherrydoor.tls.peer_authentication import TOKEN_ALGORITHM, TOKEN_AUDIENCE
from cherrydoor.tls.x509_fields import find_issuer

PEM = serialization.Encoding.PEM


class LocalAuthority:
    """The files of one folder, which are written only by this class.

    While an authority is being replaced, several authorities are trusted; the newest one signs.
    Invariant: authorities.pem holds the certificates of all trusted authorities, and revoked.pem
    holds one revocation list of each.

    Attributes:
        path: The folder.
        now: The time at which validity starts.
    """

    def __init__(self, path: str | os.PathLike[str], now: datetime | None = None) -> None:
        """Sets the folder, without reading or writing any file.

        Args:
            path: The folder. It is created with the first authority or token key.
            now: The time used instead of the current time, for tests of expired credentials.
        """
        self.path = Path(path)
        self.now = now or datetime.now(UTC)

    # ---- authorities
    def create_authority(self, days: float = 3650.0, additional: bool = False) -> Path:
        """Creates an authority.

        Args:
            days: Length of its validity in days.
            additional: Create another authority although one exists, so that both are trusted.

        Raises:
            LocalAuthorityError: An authority exists and `additional` is not set.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        existing = self._authority_files()
        if existing and not additional:
            raise LocalAuthorityError(
                f"{existing[-1]} is an authority already; --next makes one to follow it"
            )
        number = int(existing[-1].stem.split("-")[1]) + 1 if existing else 1
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = build_authority(f"cherrydoor authority {number}", key, self.now, days)
        path = self.path / f"authority-{number}.pem"
        write_private(path.with_suffix(".key"), private_pem(key))
        write_public(path, certificate.public_bytes(PEM))
        self._write_bundle()
        return path

    def retire(self) -> Path:
        """Stops trusting the oldest authority; its files are renamed but kept.

        Raises:
            LocalAuthorityError: It is the only authority.
        """
        existing = self._authority_files()
        if len(existing) < 2:
            raise LocalAuthorityError("the only authority cannot be retired")
        oldest = existing[0]
        for path in (oldest, oldest.with_suffix(".key")):
            path.rename(path.with_name("retired-" + path.name))
        self._write_bundle()
        return oldest

    # ---- certificates
    def issue(
        self, kind: str, name: str, days: float = 90.0, addresses: Iterable[str] = ()
    ) -> Path:
        """Issues a certificate by the newest authority, as NAME.pem and NAME.key.

        The key is written first. Until the certificate is written, the two files do not match, so
        a gateway rejects them and keeps the previous pair in service.

        Args:
            kind: A value of `CertificateKind`.
            name: Common name, and name of the files.
            days: Length of the validity in days.
            addresses: IP addresses and DNS names that the certificate is valid for.

        Raises:
            LocalAuthorityError: There is no authority.
        """
        signer = self._newest_signer()
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = build_certificate(
            CertificateKind(kind),
            name,
            key.public_key(),
            signer,
            self.now,
            days,
            addresses,
        )
        path = self.path / f"{name}.pem"
        write_private(self.path / f"{name}.key", private_pem(key))
        write_public(path, certificate.public_bytes(PEM))
        return path

    def revoke(self, *names: str) -> Path:
        """Revokes the certificates of these names, in addition to those already revoked.

        Raises:
            LocalAuthorityError: There is no certificate with one of the names.
        """
        certificates = []
        for name in names:
            path = self.path / f"{name}.pem"
            if not path.exists():
                raise LocalAuthorityError(f"there is no certificate {path}")
            certificates.append(x509.load_pem_x509_certificate(path.read_bytes()))
        lists = [
            self._updated_revocation_list(authority_path, certificates)
            for authority_path in self._authority_files()
        ]
        path = self.path / "revoked.pem"
        write_public(path, b"".join(lists))
        return path

    # ---- tokens
    def token_key(self, kid: str, known_clients: Iterable[str] = ()) -> Path:
        """Creates a key that signs tokens; adds its public key to tokens.jwks.

        Args:
            kid: Key id.
            known_clients: Clients whose tokens it may sign; empty for all clients.

        Raises:
            LocalAuthorityError: A key with that id exists.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        existing = self._public_token_keys()
        if any(entry["kid"] == kid for entry in existing):
            raise LocalAuthorityError(f"there is a token key {kid} already")
        key = ed25519.Ed25519PrivateKey.generate()
        public = json.loads(jwt.algorithms.OKPAlgorithm.to_jwk(key.public_key()))
        public |= {"kid": kid, "use": "sig", "alg": TOKEN_ALGORITHM}
        permitted = list(known_clients)
        if permitted:
            public["offices"] = permitted
        write_private(self.path / f"token-{kid}.key", private_pem(key))
        return self._write_public_token_keys([*existing, public])

    def drop_token_key(self, kid: str) -> None:
        """Removes a key from tokens.jwks, which invalidates the tokens that it signed.

        Raises:
            LocalAuthorityError: There is no key with that id.
        """
        existing = self._public_token_keys()
        left = [entry for entry in existing if entry["kid"] != kid]
        if len(left) == len(existing):
            raise LocalAuthorityError(f"there is no token key {kid}")
        self._write_public_token_keys(left)

    def token(self, kid: str, known_client: str, days: float = 30.0) -> str:
        """Returns a signed JSON Web Token (RFC 7519), with which a client identifies itself.

        Args:
            kid: Id of the key that signs the token.
            known_client: The client that the token identifies.
            days: Length of the validity in days.

        Raises:
            LocalAuthorityError: There is no key with that id, or it is not an Ed25519 key.
        """
        path = self.path / f"token-{kid}.key"
        if not path.exists():
            raise LocalAuthorityError(f"there is no token key {kid}")
        key = serialization.load_pem_private_key(path.read_bytes(), None)
        if not isinstance(key, ed25519.Ed25519PrivateKey):
            raise LocalAuthorityError(f"{path} is no Ed25519 key")
        claims = {
            "sub": known_client,
            "aud": TOKEN_AUDIENCE,
            "iat": self.now,
            "exp": self.now + timedelta(days=days),
        }
        return jwt.encode(claims, key, TOKEN_ALGORITHM, {"kid": kid})

    # ---- files
    def _authority_files(self) -> list[Path]:
        """Returns the certificate files of the trusted authorities, oldest first."""
        return sorted(self.path.glob("authority-*.pem"))

    def _newest_signer(self) -> Signer:
        existing = self._authority_files()
        if not existing:
            raise LocalAuthorityError(
                f"there is no authority in {self.path}: make one with `cherrydoor keys authority`"
            )
        return _read_signer(existing[-1])

    def _write_bundle(self) -> None:
        """Writes authorities.pem, and revoked.pem with one list for each authority."""
        certificates = [path.read_bytes() for path in self._authority_files()]
        write_public(self.path / "authorities.pem", b"".join(certificates))
        self.revoke()

    def _updated_revocation_list(
        self, authority_path: Path, certificates: Iterable[x509.Certificate]
    ) -> bytes:
        """Returns the authority's list in PEM, after adding those certificates that it issued."""
        signer = _read_signer(authority_path)
        path = authority_path.with_suffix(".crl")
        old = x509.load_pem_x509_crl(path.read_bytes()) if path.exists() else None
        revoked: dict[int, datetime] = {}
        # The list after an empty list keeps its number, because the empty list revoked nothing.
        number = 1
        if old is not None and len(old) > 0:
            revoked = {entry.serial_number: entry.revocation_date_utc for entry in old}
            number += old.extensions.get_extension_for_class(x509.CRLNumber).value.crl_number
        count_before = len(revoked)
        for certificate in certificates:
            if find_issuer(certificate, [signer.certificate]):
                revoked[certificate.serial_number] = self.now
        if old is None or len(revoked) > count_before:
            new = build_revocation_list(signer, number, revoked, self.now)
            write_public(path, new.public_bytes(PEM))
        return path.read_bytes()

    def _public_token_keys(self) -> list[dict[str, Any]]:
        path = self.path / "tokens.jwks"
        if not path.exists():
            return []
        entries: list[dict[str, Any]] = json.loads(path.read_bytes())["keys"]
        return entries

    def _write_public_token_keys(self, entries: list[dict[str, Any]]) -> Path:
        path = self.path / "tokens.jwks"
        write_public(path, json.dumps({"keys": entries}, indent=1).encode())
        return path


def _read_signer(authority_path: Path) -> Signer:
    certificate = x509.load_pem_x509_certificate(authority_path.read_bytes())
    key_path = authority_path.with_suffix(".key")
    key = serialization.load_pem_private_key(key_path.read_bytes(), None)
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        raise LocalAuthorityError(f"{key_path} is no key of an elliptic curve")
    return Signer(certificate, key)
