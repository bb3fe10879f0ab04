"""Earlier names of the manager, its settings and its error, for importers outside the package."""

from cherrydoor.tls.credential_manager import CredentialManager as Keeper
from cherrydoor.tls.errors import PeerAuthenticationError as NotProved
from cherrydoor.tls.settings import CredentialSettings

Where = CredentialSettings.from_config_keys

__all__ = ["Keeper", "NotProved", "Where"]
