"""The messages that the membership protocol wants sent."""

from __future__ import annotations

import attrs

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.messages_membership import MembershipMessage


@attrs.frozen(kw_only=True)
class Send:
    """A message to send; ``expected`` is the life it is meant for, None for any."""

    to: Address
    message: MembershipMessage
    expected: Incarnation | None = None


@attrs.define(kw_only=True)
class Outbox:
    """Gathers messages until the caller of the protocol takes them."""

    _sends: list[Send] = attrs.field(factory=list, init=False)

    def send(
        self, to: Address, message: MembershipMessage, *, expected: Incarnation | None = None
    ) -> None:
        """Add a message."""
        self._sends.append(Send(to=to, message=message, expected=expected))

    def take(self) -> list[Send]:
        """Give the messages, and forget them."""
        sends, self._sends = self._sends, []
        return sends
