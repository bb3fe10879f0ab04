"""Earlier name of the inventory, for importers outside the package."""

from cherrydoor.tls.inventory import list_credentials as rows_of

__all__ = ["rows_of"]
