"""Checks that a part of the credentials must pass before it is put in service.

Each function returns the reason for the rejection, or "" if the part is accepted. No I/O.
"""

from collections.abc import Iterable

from cherrydoor.tls.credentials import Authority, Pair, RevocationList, TokenKey
from cherrydoor.tls.expiry import format_time


def pair_rejection_reason(pair: Pair, now_ms: float) -> str:
    """Rejects a pair that no peer would accept.

    If the gateway's clock is wrong, a valid pair may be rejected; the store therefore checks
    rejected pairs again later.
    """
    if not pair.key_matches:
        return "the certificate and the key do not belong together"
    if pair.not_after_ms <= now_ms:
        return f"the certificate ended at {format_time(pair.not_after_ms)}"
    if pair.not_before_ms > now_ms:
        return f"the certificate begins at {format_time(pair.not_before_ms)} only"
    return ""


def authorities_rejection_reason(authorities: tuple[Authority, ...], now_ms: float) -> str:
    """Rejects a set of authorities with which no peer could be verified."""
    if not authorities:
        return "there is no authority in it"
    if all(authority.not_after_ms <= now_ms for authority in authorities):
        return "every authority in it has ended"
    return ""


def revocations_rejection_reason(
    offered: tuple[RevocationList, ...],
    in_service: tuple[RevocationList, ...],
    trusted: Iterable[Authority],
) -> str:
    """Rejects revocation lists that are forged, older than those in service, or missing.

    If an authority restarts the numbering of its lists, they are rejected until their number
    reaches that of the list in service.

    Args:
        offered: The lists to check.
        in_service: The lists that they would replace.
        trusted: Authorities in service. Lists of other authorities may be missing.
    """
    if not all(revocations.signature_verified for revocations in offered):
        return "a list of revocations is not signed by an authority in service"
    numbers = {revocations.authority: revocations.number for revocations in in_service}
    for revocations in offered:
        number = numbers.get(revocations.authority, 0)
        if revocations.number < number:
            return (
                f"list {revocations.number} of revocations is older than {number}, "
                "which is in service"
            )
    required = set(numbers) & {authority.id for authority in trusted}
    if required - {revocations.authority for revocations in offered}:
        return "the list of revocations of an authority in service is missing"
    return ""


def token_keys_rejection_reason(token_keys: tuple[TokenKey, ...]) -> str:
    """Rejects two keys with the same id, because it would be undefined which of them is used."""
    ids = {token_key.id for token_key in token_keys}
    return "two token keys have one id" if len(ids) < len(token_keys) else ""
