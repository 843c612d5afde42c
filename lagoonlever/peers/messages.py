"""The messages that VMs send each other: their registry, and how a receiver gets them."""

from __future__ import annotations

from typing import Generic, TypeVar

import attrs

from lagoonlever.codec import MessageRegistry
from lagoonlever.identity import Incarnation

T = TypeVar("T")

PEER = MessageRegistry()
"""Every message between VMs; the classes stand in ``messages_<part>.py`` beside this module."""


@attrs.frozen(kw_only=True)
class Received(Generic[T]):
    """A message with the incarnation that sent it."""

    sender: Incarnation
    message: T
