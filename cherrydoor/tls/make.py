"""Earlier names of the local authority, for importers outside the package."""

from cherrydoor.tls.errors import LocalAuthorityError as CannotMake
from cherrydoor.tls.local_authority import LocalAuthority as Folder
from cherrydoor.tls.peer_authentication import TOKEN_AUDIENCE as AUDIENCE

__all__ = ["AUDIENCE", "CannotMake", "Folder"]
