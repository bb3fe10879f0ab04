"""Replaces files of keys and certificates atomically, so that no reader sees a partial file."""

import os
from pathlib import Path

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519

PRIVATE_FILE_MODE = 0o600
PUBLIC_FILE_MODE = 0o644


def private_pem(key: ec.EllipticCurvePrivateKey | ed25519.Ed25519PrivateKey) -> bytes:
    """Returns the private key in PEM, without a pass phrase: a gateway must start unattended."""
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def write_private(path: Path, data: bytes) -> None:
    """Replaces a file that only its owner may read."""
    _replace(path, data, PRIVATE_FILE_MODE)


def write_public(path: Path, data: bytes) -> None:
    """Replaces a file that everybody may read."""
    _replace(path, data, PUBLIC_FILE_MODE)


def _replace(path: Path, data: bytes, mode: int) -> None:
    new_path = path.with_name(path.name + ".new")
    descriptor = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
    with open(descriptor, "wb") as file:
        file.write(data)
    new_path.replace(path)
