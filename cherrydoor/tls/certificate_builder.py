"""Builds and signs certificates and revocation lists of a local authority, without file access."""

from collections.abc import Iterable, Mapping
from datetime import datetime, timedelta
from enum import StrEnum
from ipaddress import ip_address
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

# Validity starts this long before the time of issue, so that peers whose clocks are behind accept
# new certificates.
BACKDATING = timedelta(minutes=5)
# A revocation list is replaced when a certificate is revoked, not when the list expires. RFC 5280,
# section 5.1.2.5 nevertheless requires a time of the next update.
REVOCATION_LIST_VALIDITY = timedelta(days=3650)


class CertificateKind(StrEnum):
    """Role of a certificate's subject. The values are those of the command line."""

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
    """Builds the self-signed certificate of an authority.

    The authority may sign certificates and revocation lists.

    Args:
        name: Common name of the authority.
        key: Private key of the authority.
        now: Current time. The validity starts `BACKDATING` earlier.
        days: Days from `now` until the certificate expires.
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
    """Builds a certificate of a gateway, host or client.

    Args:
        kind: Role of the subject; determines the extended key usage.
        name: Common name of the subject.
        public_key: Public key of the subject.
        signer: The authority that signs the certificate.
        now: Current time. The validity starts `BACKDATING` earlier.
        days: Days from `now` until the certificate expires.
        addresses: IP addresses and DNS names that the certificate is valid for.
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
    """Builds a revocation list of an authority.

    Args:
        signer: The authority that signs the list.
        number: Number of the list; must be larger than that of the previous list.
        revoked: Serial number of each revoked certificate and the time of its revocation.
        now: Current time. The list is dated `BACKDATING` earlier.
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
