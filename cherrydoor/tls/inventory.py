"""Lists the credentials in a folder or named by a configuration, with their state."""

import time
from collections.abc import Callable
from os import PathLike
from pathlib import Path
from typing import Any, NamedTuple, TypedDict

from cryptography import x509

from cherrydoor.tls.credential_files import (
    FilePath,
    read_authorities,
    read_pair,
    read_revocations,
    read_token_keys,
)
from cherrydoor.tls.errors import InvalidCredentialsError
from cherrydoor.tls.expiry import DAY_MS


class InventoryRow(TypedDict):
    """One credential, as `cherrydoor keys show` prints it."""

    kind: str
    name: str
    state: str
    good: bool
    file: str


class PairPaths(NamedTuple):
    """Paths of a certificate and its private key."""

    certificate: FilePath
    key: FilePath


class CredentialPaths(NamedTuple):
    """Paths of the files to list; "" for a missing part."""

    pairs: list[PairPaths]
    authorities: str
    revoked: str
    tokens: str


def list_credentials(
    folder: str | PathLike[str] | None = None,
    config_path: str | PathLike[str] | None = None,
    now_ms: float | None = None,
) -> list[InventoryRow]:
    """Returns a row for each credential.

    Args:
        folder: Folder of a local authority.
        config_path: Configuration whose files are listed instead of a folder.
        now_ms: The time in ms since 1970; defaults to that of the system clock.

    Raises:
        cherrydoor.config.Problems: The configuration is not valid.
        ValueError: Neither a folder nor a configuration is given.
    """
    now_ms = now_ms or time.time() * 1000
    if config_path:
        paths = _paths_in_config(config_path)
    elif folder is not None:
        paths = _paths_in_folder(Path(folder))
    else:
        raise ValueError("a folder or a configuration is needed")
    trusted: list[x509.Certificate] = []
    rows: list[InventoryRow] = []
    if paths.authorities:
        rows += _authority_rows(paths.authorities, now_ms, trusted)
    rows += [_pair_row(pair, now_ms) for pair in paths.pairs]
    if paths.revoked:
        rows += _revocation_rows(paths.revoked, trusted)
    if paths.tokens:
        rows += _token_key_rows(paths.tokens)
    return rows


def _paths_in_config(config_path: FilePath) -> CredentialPaths:
    # Imported here, because the package is also used without a configuration.
    from cherrydoor.config.figures import read_config

    read: Callable[[FilePath], Any] = read_config
    keys = read(config_path).keys
    pairs = [PairPaths(keys["certificate"], keys["key"])] if keys["certificate"] else []
    return CredentialPaths(pairs, keys["authorities"], keys["revoked"], keys["tokens"])


def _paths_in_folder(folder: Path) -> CredentialPaths:
    pairs = [
        PairPaths(path, path.with_suffix(".key"))
        for path in sorted(folder.glob("*.pem"))
        if path.with_suffix(".key").exists()
        and not path.name.startswith(("authority-", "retired-"))
    ]
    bundles = [
        str(folder / name) if (folder / name).exists() else ""
        for name in ("authorities.pem", "revoked.pem", "tokens.jwks")
    ]
    return CredentialPaths(pairs, *bundles)


def _authority_rows(
    path: str, now_ms: float, trusted: list[x509.Certificate]
) -> list[InventoryRow]:
    """Returns the rows of a bundle; adds its certificates to `trusted`."""
    try:
        loaded = read_authorities(path)
    except InvalidCredentialsError as error:
        return [_row("authority", "", str(error), False, path)]
    trusted += loaded.certificates
    return [
        _validity_row("authority", authority.name, authority.not_after_ms, now_ms, path)
        for authority in loaded.content
    ]


def _pair_row(paths: PairPaths, now_ms: float) -> InventoryRow:
    try:
        pair = read_pair(paths.certificate, paths.key).content
    except InvalidCredentialsError as error:
        return _row("certificate", "", str(error), False, paths.certificate)
    if not pair.key_matches:
        return _row("certificate", pair.name, "does not match its key", False, paths.certificate)
    return _validity_row("certificate", pair.name, pair.not_after_ms, now_ms, paths.certificate)


def _revocation_rows(path: str, trusted: list[x509.Certificate]) -> list[InventoryRow]:
    try:
        loaded = read_revocations(path, trusted)
    except InvalidCredentialsError as error:
        return [_row("revocations", "", str(error), False, path)]
    rows = []
    for revocations in loaded.content:
        verified = revocations.signature_verified
        revoked = f"{len(revocations.serials)} revoked"
        state = revoked if verified else "not signed by an authority here"
        rows.append(_row("revocations", f"list {revocations.number}", state, verified, path))
    return rows


def _token_key_rows(path: str) -> list[InventoryRow]:
    try:
        loaded = read_token_keys(path)
    except InvalidCredentialsError as error:
        return [_row("token key", "", str(error), False, path)]
    rows = []
    for token_key in loaded.content:
        state = "for " + (", ".join(token_key.known_clients) or "all")
        rows.append(_row("token key", token_key.id, state, True, path))
    return rows


def _validity_row(
    kind: str, name: str, not_after_ms: float, now_ms: float, path: FilePath
) -> InventoryRow:
    days = (not_after_ms - now_ms) / DAY_MS
    if days > 0:
        return _row(kind, name, f"ends in {days:.1f} days", True, path)
    return _row(kind, name, f"ended {-days:.1f} days ago", False, path)


def _row(kind: str, name: str, state: str, good: bool, path: FilePath) -> InventoryRow:
    return {"kind": kind, "name": name, "state": state, "good": good, "file": str(path)}
