"""Errors of the package. No error message contains key material."""

from os import PathLike


class CredentialError(ValueError):
    """Base class of the errors of this package."""


class InvalidCredentialsError(CredentialError):
    """Credentials cannot be put in service."""


class CredentialFileError(InvalidCredentialsError):
    """A file cannot be read, or does not have the expected content.

    Attributes:
        path: The file.
        reason: What is wrong, without any content of the file.
    """

    def __init__(self, path: str | PathLike[str], reason: str) -> None:
        """Creates an error whose message is the path followed by the reason."""
        super().__init__(f"{path} {reason}")
        self.path = path
        self.reason = reason


class CredentialRejectedError(InvalidCredentialsError):
    """A part was read, but was not accepted for service.

    Attributes:
        part: The value of the `credentials.Part`.
        reason: Why it was rejected.
    """

    def __init__(self, part: str, reason: str) -> None:
        """Creates an error whose message is the part, a colon and the reason."""
        super().__init__(f"{part}: {reason}")
        self.part = part
        self.reason = reason


class PeerAuthenticationError(CredentialError):
    """A peer's certificate or token is not valid. The message is sent to the peer."""


class LocalAuthorityError(CredentialError):
    """The local authority cannot carry out an operation; the message says why."""
