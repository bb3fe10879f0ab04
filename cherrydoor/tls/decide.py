"""Earlier names of the store's messages and policy, for importers outside the package."""

from cherrydoor.tls.expiry import ExpiryPolicy as Usage
from cherrydoor.tls.messages import ConnectionClosed as Left
from cherrydoor.tls.messages import ConnectionOpened as Joined

__all__ = ["Joined", "Left", "Usage"]
