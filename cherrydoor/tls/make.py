"""A local authority in a folder: certificates for gateways, hosts and clients, revocations, token keys and tokens.

For a deployment without an authority of its own, for rehearsals and tests. Each file is replaced whole; keys can be
read by their owner alone.
"""

import json
import os
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path

import jwt
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from cherrydoor.tls import files

AUDIENCE = "cherrydoor"
PEM = serialization.Encoding.PEM
EARLY = timedelta(minutes=5)  # a certificate begins this long ago: clocks of others may be behind


class CannotMake(ValueError):
    """Says why."""


def put(path, data, secret=False):
    """Replaces the file whole."""
    new = path.with_name(path.name + ".new")
    with open(
        os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600 if secret else 0o644), "wb"
    ) as out:
        out.write(data)
    new.replace(path)


def secret_bytes(key):
    return key.private_bytes(PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())


def ec_key(path):
    key = serialization.load_pem_private_key(path.read_bytes(), None)
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        raise CannotMake(f"{path} is no key of an elliptic curve")
    return key


def named(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


class Folder:
    """The files of one local authority. Times are in days; `now` is a datetime for tests of what has ended."""

    def __init__(self, path, now=None):
        self.path, self.now = Path(path), now or datetime.now(UTC)

    def authority_files(self):
        """Certificates of the authorities, oldest first."""
        return sorted(self.path.glob("authority-*.pem"))

    def newest(self):
        found = self.authority_files()
        if not found:
            raise CannotMake(
                f"there is no authority in {self.path}: make one with `cherrydoor keys authority`"
            )
        path = found[-1]
        return (x509.load_pem_x509_certificate(path.read_bytes()), ec_key(path.with_suffix(".key")))

    def authority(self, days=3650.0, more=False):
        """A new authority; a second one only when it is asked for, as both are then trusted."""
        self.path.mkdir(parents=True, exist_ok=True)
        found = self.authority_files()
        if found and not more:
            raise CannotMake(f"{found[-1]} is an authority already; --next makes one to follow it")
        number = int(found[-1].stem.split("-")[1]) + 1 if found else 1
        key, name = ec.generate_private_key(ec.SECP256R1()), named(f"cherrydoor authority {number}")
        made = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(self.now - EARLY)
            .not_valid_after(self.now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(True, 0), True)
            .add_extension(
                x509.KeyUsage(False, False, False, False, False, True, True, False, False), True
            )
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), False)
            .sign(key, hashes.SHA256())
        )
        put(self.path / f"authority-{number}.key", secret_bytes(key), True)
        put(self.path / f"authority-{number}.pem", made.public_bytes(PEM))
        self.bundle()
        return self.path / f"authority-{number}.pem"

    def bundle(self):
        """authorities.pem: all that are trusted. Lists of revocations follow."""
        put(
            self.path / "authorities.pem",
            b"".join(path.read_bytes() for path in self.authority_files()),
        )
        self.revoke()

    def retire(self):
        """The oldest authority is trusted no more; its certificate and key are kept under another name."""
        found = self.authority_files()
        if len(found) < 2:
            raise CannotMake("the only authority cannot be retired")
        for path in (found[0], found[0].with_suffix(".key")):
            path.rename(path.with_name("retired-" + path.name))
        self.bundle()
        return found[0]

    def issue(self, kind, name, days=90.0, addresses=()):
        """NAME.pem and NAME.key; kind is gateway, host or client. The key is written first: until the certificate
        follows, the two do not match, and whoever reads them goes on with the old."""
        authority, signer = self.newest()
        key = ec.generate_private_key(ec.SECP256R1())
        uses = {
            "gateway": [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH],
            "host": [ExtendedKeyUsageOID.SERVER_AUTH],
            "client": [ExtendedKeyUsageOID.CLIENT_AUTH],
        }[kind]
        known_as: list[x509.GeneralName] = []
        for one in addresses:
            try:
                known_as.append(x509.IPAddress(ip_address(one)))
            except ValueError:
                known_as.append(x509.DNSName(one))
        builder = (
            x509.CertificateBuilder()
            .subject_name(named(name))
            .issuer_name(authority.subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(self.now - EARLY)
            .not_valid_after(self.now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(False, None), True)
            .add_extension(x509.ExtendedKeyUsage(uses), False)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key()), False
            )
        )
        if known_as:
            builder = builder.add_extension(x509.SubjectAlternativeName(known_as), False)
        made = builder.sign(signer, hashes.SHA256())
        put(self.path / f"{name}.key", secret_bytes(key), True)
        put(self.path / f"{name}.pem", made.public_bytes(PEM))
        return self.path / f"{name}.pem"

    def revoke(self, *names):
        """revoked.pem: a list of each authority, with the certificates of these names beside those before."""
        more = []
        for name in names:
            path = self.path / f"{name}.pem"
            if not path.exists():
                raise CannotMake(f"there is no certificate {path}")
            more.append(x509.load_pem_x509_certificate(path.read_bytes()))
        lists = []
        for path in self.authority_files():
            authority = x509.load_pem_x509_certificate(path.read_bytes())
            signer = ec_key(path.with_suffix(".key"))
            kept = path.with_suffix(".crl")
            old = x509.load_pem_x509_crl(kept.read_bytes()) if kept.exists() else None
            number = (
                old.extensions.get_extension_for_class(x509.CRLNumber).value.crl_number + 1
                if old
                else 1
            )
            serials = {entry.serial_number: entry.revocation_date_utc for entry in old or ()}
            serials |= {
                one.serial_number: self.now for one in more if files.issuer(one, [authority])
            }
            if old is None or len(serials) > len(list(old)):
                builder = (
                    x509.CertificateRevocationListBuilder()
                    .issuer_name(authority.subject)
                    .last_update(self.now - EARLY)
                    .next_update(self.now + timedelta(days=3650))
                    .add_extension(x509.CRLNumber(number), False)
                )
                for serial, at in sorted(serials.items()):
                    builder = builder.add_revoked_certificate(
                        x509.RevokedCertificateBuilder()
                        .serial_number(serial)
                        .revocation_date(at)
                        .build()
                    )
                put(kept, builder.sign(signer, hashes.SHA256()).public_bytes(PEM))
            lists.append(kept.read_bytes())
        put(self.path / "revoked.pem", b"".join(lists))
        return self.path / "revoked.pem"

    # ---- tokens
    def token_keys(self):
        path = self.path / "tokens.jwks"
        return json.loads(path.read_bytes())["keys"] if path.exists() else []

    def token_key(self, kid, offices=()):
        """A key that signs tokens for these offices, or for all; its public half goes into tokens.jwks."""
        self.path.mkdir(parents=True, exist_ok=True)
        known = self.token_keys()
        if any(one["kid"] == kid for one in known):
            raise CannotMake(f"there is a token key {kid} already")
        key = ed25519.Ed25519PrivateKey.generate()
        public = json.loads(jwt.algorithms.OKPAlgorithm.to_jwk(key.public_key()))
        public |= {"kid": kid, "use": "sig", "alg": "EdDSA"} | (
            {"offices": list(offices)} if offices else {}
        )
        put(self.path / f"token-{kid}.key", secret_bytes(key), True)
        put(self.path / "tokens.jwks", json.dumps({"keys": [*known, public]}, indent=1).encode())
        return self.path / "tokens.jwks"

    def drop_token_key(self, kid):
        left = [one for one in self.token_keys() if one["kid"] != kid]
        if len(left) == len(self.token_keys()):
            raise CannotMake(f"there is no token key {kid}")
        put(self.path / "tokens.jwks", json.dumps({"keys": left}, indent=1).encode())

    def token(self, kid, office, days=30.0):
        """A token for a hello: a signed JSON Web Token (RFC 7519) that ends."""
        path = self.path / f"token-{kid}.key"
        if not path.exists():
            raise CannotMake(f"there is no token key {kid}")
        key = serialization.load_pem_private_key(path.read_bytes(), None)
        if not isinstance(key, ed25519.Ed25519PrivateKey):
            raise CannotMake(f"{path} is no Ed25519 key")
        return jwt.encode(
            {
                "sub": office,
                "aud": AUDIENCE,
                "iat": self.now,
                "exp": self.now + timedelta(days=days),
            },
            key,
            "EdDSA",
            {"kid": kid},
        )
