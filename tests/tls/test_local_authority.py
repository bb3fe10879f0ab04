"""The files that a local authority writes."""

from pathlib import Path

import pytest

from cherrydoor.tls.credential_files import read_authorities, read_revocations
from cherrydoor.tls.errors import LocalAuthorityError
from cherrydoor.tls.local_authority import LocalAuthority


@pytest.fixture
def local_authority(tmp_path):
    local_authority = LocalAuthority(tmp_path / "keys")
    local_authority.create_authority()
    return local_authority


def revocations_in(folder: Path):
    trusted = read_authorities(folder / "authorities.pem").certificates
    return read_revocations(folder / "revoked.pem", trusted).content


def test_each_revocation_is_added_to_the_list_and_the_list_number_never_decreases(local_authority):
    local_authority.issue("client", "harbour")
    local_authority.issue("client", "meadow")
    found = []
    for names in ((), ("harbour",), ("harbour",), ("meadow",)):
        local_authority.revoke(*names)
        [revocations] = revocations_in(local_authority.path)
        found.append((revocations.number, len(revocations.serials)))
        assert revocations.signature_verified
    assert found == [(1, 0), (1, 1), (1, 1), (2, 2)]


def test_private_files_are_readable_only_by_their_owner(local_authority):
    local_authority.issue("client", "harbour")
    local_authority.token_key("k1")
    modes = {path.name: path.stat().st_mode & 0o777 for path in local_authority.path.iterdir()}
    assert {modes[name] for name in ("authority-1.key", "harbour.key", "token-k1.key")} == {0o600}


@pytest.mark.parametrize(
    ("operation", "reason"),
    [
        (lambda authority: authority.create_authority(), "is an authority already"),
        (lambda authority: authority.retire(), "the only authority cannot be retired"),
        (lambda authority: authority.revoke("nobody"), "there is no certificate"),
        (lambda authority: authority.drop_token_key("k9"), "there is no token key k9"),
        (lambda authority: authority.token("k9", "harbour"), "there is no token key k9"),
    ],
)
def test_an_operation_that_is_not_possible_raises_an_error_with_the_reason(
    local_authority, operation, reason
):
    with pytest.raises(LocalAuthorityError, match=reason):
        operation(local_authority)


def test_a_certificate_needs_an_authority(tmp_path):
    with pytest.raises(LocalAuthorityError, match="make one with `cherrydoor keys authority`"):
        LocalAuthority(tmp_path).issue("client", "harbour")
