"""What keys there are, in a folder or named by a lease, and when each ends."""

import time
from pathlib import Path

from cherrydoor.tls import files


def left(until, now):
    days = (until - now) / 86400000
    return (
        (f"ends in {days:.1f} days", True) if days > 0 else (f"ended {-days:.1f} days ago", False)
    )


def row(kind, name, state, good, path=""):
    return {"kind": kind, "name": name, "state": state, "good": good, "file": str(path)}


def pair_row(certificate, key, now):
    try:
        _, facts, *_ = files.pair(certificate, key)
    except files.BadKeys as error:
        return row("certificate", "", str(error), False, certificate)
    if not facts.matches:
        return row("certificate", facts.name, "does not match its key", False, certificate)
    state, good = left(facts.until, now)
    return row("certificate", facts.name, state, good, certificate)


def rows_of(folder=None, lease=None, now=None):
    """A row for each key: kind, name, state, good, file. Problems where the lease is wrong."""
    now, rows = now or time.time() * 1000, []
    if lease:
        from cherrydoor.config.figures import read_config

        said = read_config(lease).keys
        pairs = [(said["certificate"], said["key"])] if said["certificate"] else []
    else:
        path = Path(folder)
        pairs = [
            (one, one.with_suffix(".key"))
            for one in sorted(path.glob("*.pem"))
            if one.with_suffix(".key").exists()
            and not one.name.startswith(("authority-", "retired-"))
        ]
        said = {
            what: str(path / name) if (path / name).exists() else ""
            for what, name in (
                ("authorities", "authorities.pem"),
                ("revoked", "revoked.pem"),
                ("tokens", "tokens.jwks"),
            )
        }
    trusted = ()
    if said["authorities"]:
        try:
            _, facts, trusted = files.authorities(said["authorities"])
            for one in facts:
                state, good = left(one.until, now)
                rows.append(row("authority", one.name, state, good, said["authorities"]))
        except files.BadKeys as error:
            rows.append(row("authority", "", str(error), False, said["authorities"]))
    rows += [pair_row(certificate, key, now) for certificate, key in pairs]
    if said["revoked"]:
        try:
            _, lists = files.revoked(said["revoked"], trusted)
            rows += [
                row(
                    "revocations",
                    f"list {one.number}",
                    f"{len(one.serials)} revoked"
                    if one.signed
                    else "not signed by an authority here",
                    one.signed,
                    said["revoked"],
                )
                for one in lists
            ]
        except files.BadKeys as error:
            rows.append(row("revocations", "", str(error), False, said["revoked"]))
    if said["tokens"]:
        try:
            _, facts, _ = files.tokens(said["tokens"])
            rows += [
                row(
                    "token key",
                    one.id,
                    "for " + (", ".join(one.offices) or "all"),
                    True,
                    said["tokens"],
                )
                for one in facts
            ]
        except files.BadKeys as error:
            rows.append(row("token key", "", str(error), False, said["tokens"]))
    return rows
