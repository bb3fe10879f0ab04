"""Earlier names of the readers and of the context, for importers outside the package."""

from cherrydoor.tls.credential_files import read_authorities as authorities
from cherrydoor.tls.credential_files import read_pair as pair
from cherrydoor.tls.credential_files import read_revocations as revoked
from cherrydoor.tls.credential_files import read_token_keys as tokens
from cherrydoor.tls.errors import InvalidCredentialsError as BadKeys
from cherrydoor.tls.tls_context import make_context as context

__all__ = ["BadKeys", "authorities", "context", "pair", "revoked", "tokens"]
