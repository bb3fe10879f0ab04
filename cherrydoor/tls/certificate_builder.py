"""Builds and signs the certificates and revocation lists of a local authority. No files."""

from collections.abc import Iterable, Mapping
from datetime import datetime, timedelta
from enum import StrEnum
from ipaddress import ip_address
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

# A certificate is valid from this long ago. Guards against peers whose clocks are behind.
BACKDATING = timedelta(minutes=5)
# A list is replaced when a certificate is revoked, not when it expires; RFC 5280, 5.1.2.5 requires
# a next update all the same.
REVOCATION_LIST_VALIDITY = timedelta(days=3650)


class CertificateKind(StrEnum):
    """Whom a certificate is for, by the values of the command line."""

    GATEWAY = "gateway"
    HOST = "host"
    CLIENT = "client"


EXTENDED_KEY_USAGES = {
    CertificateKind.GATEWAY: (ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH),
    CertificateKind.HOST: (ExtendedKeyUsageOID.SERVER_AUTH,),
    CertificateKind.CLIENT: (ExtendedKeyUsageOID.CLIENT_AUTH,),
}


class Signer(NamedTuple):
    """An authority's certificate and the private key that it signs with."""

    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey


def build_authority(
    name: str, key: ec.EllipticCurvePrivateKey, now: datetime, days: float
) -> x509.Certificate:
    """A self-signed certificate of an authority that signs certificates and revocation lists.

    Args:
        name: Its common name.
        key: Its private key.
        now: Start of its validity, but for the backdating.
        days: Length of its validity.
    """
    subject = _subject(name)
    key_usage = x509.KeyUsage(
        digital_signature=False,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=True,
        crl_sign=True,
        encipher_only=False,
        decipher_only=False,
    )
    return (
        _builder(subject, subject, key.public_key(), now, days)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(key_usage, critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .sign(key, hashes.SHA256())
    )


def build_certificate(
    kind: CertificateKind,
    name: str,
    public_key: ec.EllipticCurvePublicKey,
    signer: Signer,
    now: datetime,
    days: float,
    addresses: Iterable[str],
) -> x509.Certificate:
    """A certificate of a gateway, host or client.

    Args:
        kind: Decides what the certificate may be used for.
        name: Its common name.
        public_key: The key that it certifies.
        signer: The authority.
        now: Start of its validity, but for the backdating.
        days: Length of its validity.
        addresses: IP addresses and DNS names that it is valid for.
    """
    builder = (
        _builder(_subject(name), signer.certificate.subject, public_key, now, days)
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(x509.ExtendedKeyUsage(EXTENDED_KEY_USAGES[kind]), critical=False)
        .add_extension(
            x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.key.public_key()),
            critical=False,
        )
    )
    alternative_names = [_alternative_name(address) for address in addresses]
    if alternative_names:
        builder = builder.add_extension(
            x509.SubjectAlternativeName(alternative_names), critical=False
        )
    return builder.sign(signer.key, hashes.SHA256())


def build_revocation_list(
    signer: Signer,
    number: int,
    revoked: Mapping[int, datetime],
    now: datetime,
) -> x509.CertificateRevocationList:
    """A revocation list of an authority.

    Args:
        signer: The authority.
        number: Number of the list; must be larger than that of the list before.
        revoked: Serial numbers and when each was revoked.
        now: Time of the list, but for the backdating.
    """
    builder = (
        x509.CertificateRevocationListBuilder()
        .issuer_name(signer.certificate.subject)
        .last_update(now - BACKDATING)
        .next_update(now + REVOCATION_LIST_VALIDITY)
        .add_extension(x509.CRLNumber(number), critical=False)
    )
    for serial, revoked_at in sorted(revoked.items()):
        entry = (
            x509.RevokedCertificateBuilder()
            .serial_number(serial)
            .revocation_date(revoked_at)
            .build()
        )
        builder = builder.add_revoked_certificate(entry)
    return builder.sign(signer.key, hashes.SHA256())


def _builder(
    subject: x509.Name,
    issuer: x509.Name,
    public_key: ec.EllipticCurvePublicKey,
    now: datetime,
    days: float,
) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - BACKDATING)
        .not_valid_after(now + timedelta(days=days))
    )


def _subject(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


def _alternative_name(address: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ip_address(address))
    except ValueError:
        return x509.DNSName(address)
