"""The exceptions of the project: each message tells the user what to change."""

from __future__ import annotations

import attrs


class LagoonleverException(Exception):
    """Base of every exception that the project raises on purpose."""


class ConfigurationError(LagoonleverException):
    """A settings file, or an option of it, is wrong; the message names the option."""


@attrs.frozen(kw_only=True)
class Fault:
    """One fault of an input, told by the path of the option or field it is in."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


class FaultsError(ConfigurationError):
    """All faults of one input, gathered and told together."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = faults
        super().__init__("\n".join(str(fault) for fault in faults))


class RequestRefused(LagoonleverException):
    """A caller's request is wrong as it stands; nothing of it was run."""

    def __init__(self, *, status: int, message: str, field: str | None = None) -> None:
        self.status = status
        self.field = field
        super().__init__(message)


class PeerError(LagoonleverException):
    """Talking to another process failed; carries the step and the peer.

    ``message`` is the text without them, for an error of another kind made of this one.
    """

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        self.message = message
        self.step = step
        self.peer = peer
        super().__init__(f"{step} with {peer}: {message}")


class ConnectFailed(PeerError):
    """No connection was made, so the peer has received nothing."""


class ConnectionBroken(PeerError):
    """The connection broke after bytes may have been sent: the peer may have acted."""


class PeerTimeout(PeerError):
    """The peer did not answer in time after bytes were sent: it may have acted."""


class BadResponse(PeerError):
    """The peer answered something that its published protocol does not allow."""


class PlatformError(PeerError):
    """Base of the failures of the platform's key-value service."""


class PlatformUnavailable(PlatformError):
    """The platform did not take the call: the change has not been applied."""


class PlatformAnswerLost(PlatformError):
    """The call was sent and no answer came: the change may have been applied."""
