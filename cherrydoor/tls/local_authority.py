"""A local authority in a folder: certificates, revocation lists, token keys and tokens.

For a deployment without an authority of its own, for rehearsals and tests. Each file is replaced
whole; private keys can be read by their owner alone.
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
    """The files of one folder, which this class alone writes.

    Several authorities may be trusted at a time, during a replacement; the newest one signs.
    Invariant: authorities.pem holds the certificates of all that are trusted, and revoked.pem one
    list of each.

    Attributes:
        path: The folder.
        now: The time that validity is counted from.
    """

    def __init__(self, path: str | os.PathLike[str], now: datetime | None = None) -> None:
        """Reads and writes nothing yet.

        Args:
            path: The folder; made with the first authority or token key.
            now: The time, for tests of what has expired.
        """
        self.path = Path(path)
        self.now = now or datetime.now(UTC)

    # ---- authorities
    def authority(self, days: float = 3650.0, additional: bool = False) -> Path:
        """Makes an authority.

        Args:
            days: Length of its validity.
            additional: Make one although there is one, so that both are trusted.

        Raises:
            LocalAuthorityError: There is one, and no other was asked for.
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
        """Stops trusting the oldest authority; its files are kept under another name.

        Raises:
            LocalAuthorityError: It is the only one.
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
        """Issues NAME.pem and NAME.key by the newest authority.

        The key is written first: until the certificate follows, the two do not match, and a
        reader rejects them and goes on with the pair before.

        Args:
            kind: A value of `CertificateKind`.
            name: Common name and file name.
            days: Length of its validity.
            addresses: IP addresses and DNS names that it is valid for.

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
        """Revokes the certificates of these names, beside those revoked before.

        Raises:
            LocalAuthorityError: There is no certificate of a name.
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
        """Makes a key that signs tokens; its public half goes into tokens.jwks.

        Args:
            kid: Its id.
            known_clients: Those whose tokens it may sign; none for all.

        Raises:
            LocalAuthorityError: There is a key of that id.
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
        """Takes a key out of tokens.jwks, which voids the tokens that it signed.

        Raises:
            LocalAuthorityError: There is no key of that id.
        """
        existing = self._public_token_keys()
        left = [entry for entry in existing if entry["kid"] != kid]
        if len(left) == len(existing):
            raise LocalAuthorityError(f"there is no token key {kid}")
        self._write_public_token_keys(left)

    def token(self, kid: str, known_client: str, days: float = 30.0) -> str:
        """Signs a JSON Web Token (RFC 7519), by which a client identifies itself.

        Args:
            kid: Id of the key that signs it.
            known_client: The client that the token identifies.
            days: Length of its validity.

        Raises:
            LocalAuthorityError: There is no such key.
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
        """Certificates of the trusted authorities, oldest first."""
        return sorted(self.path.glob("authority-*.pem"))

    def _newest_signer(self) -> Signer:
        existing = self._authority_files()
        if not existing:
            raise LocalAuthorityError(
                f"there is no authority in {self.path}: make one with `cherrydoor keys authority`"
            )
        return _read_signer(existing[-1])

    def _write_bundle(self) -> None:
        """Writes authorities.pem, and the revocation lists that must go with it."""
        certificates = [path.read_bytes() for path in self._authority_files()]
        write_public(self.path / "authorities.pem", b"".join(certificates))
        self.revoke()

    def _updated_revocation_list(
        self, authority_path: Path, certificates: Iterable[x509.Certificate]
    ) -> bytes:
        """The authority's list in PEM, with those of the certificates that it has issued."""
        signer = _read_signer(authority_path)
        path = authority_path.with_suffix(".crl")
        old = x509.load_pem_x509_crl(path.read_bytes()) if path.exists() else None
        revoked: dict[int, datetime] = {}
        # An empty list is followed by one of the same number: nothing was revoked by it.
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
