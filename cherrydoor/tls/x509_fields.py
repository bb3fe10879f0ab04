"""Fields and signatures of certificates and revocation lists (RFC 5280)."""

from collections.abc import Iterable
from datetime import UTC, datetime

from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import hashes
from cryptography.x509.oid import NameOID


def epoch_ms(moment: datetime) -> float:
    """Converts a time in UTC to ms since 1970."""
    return moment.replace(tzinfo=UTC).timestamp() * 1000


def common_name(subject: x509.Name) -> str:
    """Returns the first common name; "" if there is none."""
    found = subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    return str(found[0].value) if found else ""


def serial_hex(certificate: x509.Certificate) -> str:
    """Returns the serial number in hexadecimal."""
    return f"{certificate.serial_number:x}"


def fingerprint(certificate: x509.Certificate) -> str:
    """Returns the SHA-256 fingerprint in hexadecimal, which is the id of an authority."""
    return certificate.fingerprint(hashes.SHA256()).hex()


def find_issuer(
    signed: x509.Certificate | x509.CertificateRevocationList,
    authorities: Iterable[x509.Certificate],
) -> x509.Certificate | None:
    """Returns the first authority that signed the certificate or list; None if there is none."""
    for authority in authorities:
        if authority.subject == signed.issuer and is_signed_by(signed, authority):
            return authority
    return None


def is_signed_by(
    signed: x509.Certificate | x509.CertificateRevocationList, authority: x509.Certificate
) -> bool:
    """Returns whether the authority signed the certificate or list."""
    try:
        if isinstance(signed, x509.CertificateRevocationList):
            # Raises TypeError if keys of this type cannot sign revocation lists.
            return signed.is_signature_valid(authority.public_key())  # type: ignore[arg-type]
        signed.verify_directly_issued_by(authority)
    except (ValueError, TypeError, InvalidSignature):
        return False
    return True
