"""What the caller's library raises when a request ends without its answer."""

from __future__ import annotations

from lagoonlever.exceptions import LagoonleverException


class NoAnswer(LagoonleverException):
    """The request ended without its whole answer; tells the outcome.

    ``outcome`` and ``reason`` are the values of the headers of those names, and
    ``status`` is that of the response, or 0 where there was none.
    """

    def __init__(self, message: str, *, outcome: str, reason: str, status: int = 0) -> None:
        self.outcome = outcome
        self.reason = reason
        self.status = status
        super().__init__(message)
