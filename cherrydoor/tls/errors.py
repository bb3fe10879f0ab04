"""Errors of the package: what was wrong, where and why. No message contains key material."""

from os import PathLike


class CredentialError(ValueError):
    """Base of all errors of this package."""


class InvalidCredentialsError(CredentialError):
    """Credentials cannot be put in service."""


class CredentialFileError(InvalidCredentialsError):
    """A file cannot be read as what it should be.

    Attributes:
        path: The file.
        reason: What is wrong with it, without any of its content.
    """

    def __init__(self, path: str | PathLike[str], reason: str) -> None:
        """The message is the path followed by the reason."""
        super().__init__(f"{path} {reason}")
        self.path = path
        self.reason = reason


class CredentialRejectedError(InvalidCredentialsError):
    """A part was read, but must not be put in service.

    Attributes:
        part: The part, by the value of `credentials.Part`.
        reason: Why it was rejected.
    """

    def __init__(self, part: str, reason: str) -> None:
        """The message is the part, a colon and the reason."""
        super().__init__(f"{part}: {reason}")
        self.part = part
        self.reason = reason


class PeerAuthenticationError(CredentialError):
    """The certificate or token that a peer presented does not prove who it is. Sent to the peer."""


class LocalAuthorityError(CredentialError):
    """The local authority cannot do what was asked; the message says why."""
