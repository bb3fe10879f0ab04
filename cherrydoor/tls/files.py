"""Keys as files: read whole, told what is wrong with them in words of ours, and made into TLS contexts.

Formats: certificates, keys and lists of revocations in PEM (RFC 7468, RFC 5280), token keys as a set of JSON Web Keys
(RFC 7517) of kind Ed25519 (RFC 8037). No error says anything of what a file holds.
"""

import hashlib
import json
import os
import ssl
from contextlib import contextmanager
from datetime import UTC
from pathlib import Path

from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.x509.oid import NameOID
from jwt import PyJWK
from jwt.exceptions import PyJWTError

from cherrydoor.tls import decide as d

LONGEST = 1 << 20


class BadKeys(ValueError):
    """A file cannot be read as what it should be."""


def read(path):
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise BadKeys(f"{path} cannot be read: {error.strerror}") from None
    if len(data) > LONGEST:
        raise BadKeys(f"{path} is longer than {LONGEST} bytes")
    return data


def mark(*parts):
    return hashlib.sha256(b"\0".join(parts)).hexdigest()


def ms(moment):
    return moment.replace(tzinfo=UTC).timestamp() * 1000


def name_of(subject):
    found = subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    return str(found[0].value) if found else ""


def serial_of(certificate):
    return f"{certificate.serial_number:x}"


def id_of(certificate):
    return certificate.fingerprint(hashes.SHA256()).hex()


def certificates(data, path):
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError:
        raise BadKeys(f"{path} holds no whole certificates in PEM") from None


def pair(certificate_path, key_path):
    """(mark, d.Pair, bytes of the certificates, bytes of the key)."""
    chain, secret = read(certificate_path), read(key_path)
    first = certificates(chain, certificate_path)[0]
    try:
        key = serialization.load_pem_private_key(secret, None)
    except (ValueError, TypeError, NotImplementedError):
        raise BadKeys(
            f"{key_path} holds no whole private key in PEM without a pass phrase"
        ) from None
    form = serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo
    matches = key.public_key().public_bytes(*form) == first.public_key().public_bytes(*form)
    facts = d.Pair(
        serial_of(first),
        name_of(first.subject),
        ms(first.not_valid_before_utc),
        ms(first.not_valid_after_utc),
        matches,
    )
    return mark(chain, secret), facts, chain, secret


def authorities(path):
    """(mark, tuple of d.Authority, certificates)."""
    data = read(path)
    found = certificates(data, path)
    return (
        mark(data),
        tuple(
            d.Authority(
                id_of(one),
                name_of(one.subject),
                ms(one.not_valid_before_utc),
                ms(one.not_valid_after_utc),
            )
            for one in found
        ),
        found,
    )


def issuer(certificate, among):
    """The authority of these that signed the certificate or list; None where none did."""
    for one in among:
        if one.subject == certificate.issuer and signed(certificate, one):
            return one
    return None


def signed(what, by):
    try:
        if isinstance(what, x509.CertificateRevocationList):
            return what.is_signature_valid(by.public_key())
        what.verify_directly_issued_by(by)
        return True
    except (ValueError, TypeError, InvalidSignature):
        return False


def revoked(path, among):
    """(mark, tuple of d.Revoked) from a file of one or several lists."""
    data, found = read(path), []
    end = b"-----END X509 CRL-----"
    pieces = [piece + end for piece in data.split(end)[:-1]]
    if not pieces or data.split(end)[-1].strip():
        raise BadKeys(f"{path} holds no whole lists of revocations in PEM")
    for piece in pieces:
        try:
            one = x509.load_pem_x509_crl(piece.strip())
            number = one.extensions.get_extension_for_class(x509.CRLNumber).value.crl_number
        except (ValueError, x509.ExtensionNotFound):
            raise BadKeys(f"{path} holds no whole, numbered list of revocations in PEM") from None
        by = issuer(one, among)
        found.append(
            d.Revoked(
                id_of(by) if by else one.issuer.rfc4514_string(),
                number,
                frozenset(f"{entry.serial_number:x}" for entry in one),
                by is not None,
            )
        )
    return mark(data, *(id_of(one).encode() for one in among)), tuple(found)


def tokens(path):
    """(mark, tuple of d.Token, id -> key)."""
    data, found, keys = read(path), [], {}
    try:
        for one in json.loads(data)["keys"]:
            if one.get("kty") != "OKP" or one.get("crv") != "Ed25519" or "d" in one:
                raise BadKeys(f"{path} holds a key that is no public Ed25519 one")
            keys[one["kid"]] = PyJWK(one, "EdDSA").key
            found.append(d.Token(one["kid"], tuple(one.get("offices", ()))))
    except (ValueError, KeyError, TypeError, AttributeError, PyJWTError) as error:
        if isinstance(error, BadKeys):
            raise
        raise BadKeys(f"{path} holds no set of JSON Web Keys") from None
    return mark(data), tuple(found), keys


@contextmanager
def held(data):
    """A path under which these bytes can be opened, in memory alone: what is loaded is what was checked."""
    number = os.memfd_create("keys")
    try:
        os.write(number, data)
        yield f"/proc/self/fd/{number}"
    finally:
        os.close(number)


def context(server, chain, secret, trusted=(), ask=ssl.CERT_NONE):
    """TLS 1.3. A server's sessions cannot be taken up again, so that a change of keys is met by each handshake."""
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
    made.minimum_version = ssl.TLSVersion.TLSv1_3
    if chain:
        with held(chain) as one, held(secret) as other:
            made.load_cert_chain(one, other)
    if trusted:
        made.load_verify_locations(
            cadata="".join(one.public_bytes(serialization.Encoding.PEM).decode() for one in trusted)
        )
    if server:
        made.verify_mode, made.num_tickets = ask if trusted else ssl.CERT_NONE, 0
    return made
