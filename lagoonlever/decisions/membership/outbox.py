"""The messages that the membership protocol has produced and its caller has yet to send.

The protocol does no input or output itself: it adds messages here, and the caller takes and
sends them.
"""

from __future__ import annotations

import attrs

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.messages_membership import MembershipMessage


@attrs.frozen(kw_only=True)
class Send:
    """A message to send; ``expected`` is the incarnation it is meant for, None for any."""

    to: Address
    message: MembershipMessage
    expected: Incarnation | None = None


@attrs.define(kw_only=True)
class Outbox:
    """A buffer of messages between the protocol and the caller that sends them."""

    _sends: list[Send] = attrs.field(factory=list, init=False)

    def send(
        self, to: Address, message: MembershipMessage, *, expected: Incarnation | None = None
    ) -> None:
        """Add a message."""
        self._sends.append(Send(to=to, message=message, expected=expected))

    def take(self) -> list[Send]:
        """Remove and return all messages."""
        sends, self._sends = self._sends, []
        return sends
