"""Reads the files of certificates, authorities, revocation lists and token keys.

Formats: certificates, private keys and revocation lists in PEM (RFC 7468, RFC 5280), token keys as
a JSON Web Key Set (RFC 7517) of type Ed25519 (RFC 8037). No error message contains any content of
a file.
"""

import hashlib
import json
from collections.abc import Iterable
from os import PathLike
from pathlib import Path
from typing import Any, NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import serialization
from jwt import PyJWK
from jwt.exceptions import PyJWTError

from cherrydoor.tls.credentials import Authority, Pair, RevocationList, TokenKey
from cherrydoor.tls.errors import CredentialFileError
from cherrydoor.tls.x509_fields import (
    common_name,
    epoch_ms,
    find_issuer,
    fingerprint,
    serial_hex,
)

# Prevents a wrong path from filling the memory. Larger bundles cannot be used.
MAX_FILE_BYTES = 1 << 20
CRL_END = b"-----END X509 CRL-----"

FilePath = str | PathLike[str]


class PairFile(NamedTuple):
    """A certificate chain and its private key, as read from their files.

    Attributes:
        content_hash: Hash of the content of both files.
        content: Fields of the first certificate.
        chain: The certificates in PEM.
        private_key: The private key in PEM. Never logged.
    """

    content_hash: str
    content: Pair
    chain: bytes
    private_key: bytes


class AuthoritiesFile(NamedTuple):
    """Trusted authorities, as read from their file, and their certificates in the same order."""

    content_hash: str
    content: tuple[Authority, ...]
    certificates: list[x509.Certificate]


class RevocationsFile(NamedTuple):
    """Revocation lists, as read from their file.

    The hash includes the authorities that the lists were verified with.
    """

    content_hash: str
    content: tuple[RevocationList, ...]


class TokenKeysFile(NamedTuple):
    """Token keys, as read from their file, and the public key for each key id."""

    content_hash: str
    content: tuple[TokenKey, ...]
    keys: dict[str, Any]


def read_pair(certificate_path: FilePath, key_path: FilePath) -> PairFile:
    """Reads a certificate chain and its private key.

    Raises:
        CredentialFileError: One of the files cannot be read, or its content is not valid.
    """
    chain = _read(certificate_path)
    private_key = _read(key_path)
    certificate = _certificates(chain, certificate_path)[0]
    try:
        key = serialization.load_pem_private_key(private_key, None)
    except (ValueError, TypeError, NotImplementedError):
        raise CredentialFileError(
            key_path, "holds no whole private key in PEM without a pass phrase"
        ) from None
    pair = Pair(
        serial_hex(certificate),
        common_name(certificate.subject),
        epoch_ms(certificate.not_valid_before_utc),
        epoch_ms(certificate.not_valid_after_utc),
        _public_bytes(key.public_key()) == _public_bytes(certificate.public_key()),
    )
    return PairFile(_content_hash(chain, private_key), pair, chain, private_key)


def read_authorities(path: FilePath) -> AuthoritiesFile:
    """Reads a bundle of trusted authorities.

    Raises:
        CredentialFileError: The file cannot be read, or holds no complete certificates.
    """
    data = _read(path)
    certificates = _certificates(data, path)
    records = tuple(
        Authority(
            fingerprint(certificate),
            common_name(certificate.subject),
            epoch_ms(certificate.not_valid_before_utc),
            epoch_ms(certificate.not_valid_after_utc),
        )
        for certificate in certificates
    )
    return AuthoritiesFile(_content_hash(data), records, certificates)


def read_revocations(path: FilePath, trusted: Iterable[x509.Certificate]) -> RevocationsFile:
    """Reads a file of one or more revocation lists, and verifies their signatures.

    Args:
        path: The file.
        trusted: Certificates of the authorities in service.

    Raises:
        CredentialFileError: The file cannot be read, or holds no complete, numbered lists.
    """
    data = _read(path)
    authorities = list(trusted)
    *lists_in_pem, rest = data.split(CRL_END)
    if not lists_in_pem or rest.strip():
        raise CredentialFileError(path, "holds no whole lists of revocations in PEM")
    records = tuple(
        _revocation_list(list_in_pem + CRL_END, path, authorities) for list_in_pem in lists_in_pem
    )
    fingerprints = [fingerprint(authority).encode() for authority in authorities]
    return RevocationsFile(_content_hash(data, *fingerprints), records)


def read_token_keys(path: FilePath) -> TokenKeysFile:
    """Reads a set of public token keys.

    Raises:
        CredentialFileError: The file cannot be read, or holds anything but public Ed25519 keys.
    """
    data = _read(path)
    records: list[TokenKey] = []
    keys: dict[str, Any] = {}
    try:
        for entry in json.loads(data)["keys"]:
            if entry.get("kty") != "OKP" or entry.get("crv") != "Ed25519" or "d" in entry:
                raise CredentialFileError(path, "holds a key that is no public Ed25519 one")
            keys[entry["kid"]] = PyJWK(entry, "EdDSA").key
            records.append(TokenKey(entry["kid"], tuple(entry.get("offices", ()))))
    except CredentialFileError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError, PyJWTError):
        raise CredentialFileError(path, "holds no set of JSON Web Keys") from None
    return TokenKeysFile(_content_hash(data), tuple(records), keys)


def _read(path: FilePath) -> bytes:
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise CredentialFileError(path, f"cannot be read: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise CredentialFileError(path, f"is longer than {MAX_FILE_BYTES} bytes")
    return data


def _content_hash(*parts: bytes) -> str:
    return hashlib.sha256(b"\0".join(parts)).hexdigest()


def _certificates(data: bytes, path: FilePath) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError:
        raise CredentialFileError(path, "holds no whole certificates in PEM") from None


def _public_bytes(key: Any) -> bytes:
    encoded: bytes = key.public_bytes(
        serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo
    )
    return encoded


def _revocation_list(
    pem: bytes, path: FilePath, authorities: list[x509.Certificate]
) -> RevocationList:
    try:
        crl = x509.load_pem_x509_crl(pem.strip())
        number = crl.extensions.get_extension_for_class(x509.CRLNumber).value.crl_number
    except (ValueError, x509.ExtensionNotFound):
        raise CredentialFileError(
            path, "holds no whole, numbered list of revocations in PEM"
        ) from None
    authority = find_issuer(crl, authorities)
    return RevocationList(
        fingerprint(authority) if authority else crl.issuer.rfc4514_string(),
        number,
        frozenset(f"{entry.serial_number:x}" for entry in crl),
        authority is not None,
    )
