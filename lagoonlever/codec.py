"""Typed messages as bytes: a registry of attrs classes by tag, over msgspec.

Messages between VMs travel as MessagePack, histories as lines of JSON; both are
``[tag, fields]``. A tag that a reader does not know raises ``UnknownMessage``,
so that VMs of two releases can run side by side and skip each other's news.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from lagoonlever.exceptions import LagoonleverException

T = TypeVar("T")


class UnknownMessage(LagoonleverException):
    """The bytes are no message of this registry."""


class UnsendableMessage(LagoonleverException):
    """A message holds a value that its form on the wire does not have."""


class MessageRegistry:
    """The message classes of one protocol, by tag."""

    def __init__(self) -> None:
        self._classes: dict[str, type[Any]] = {}
        self._tags: dict[type[Any], str] = {}

    def message(self, tag: str) -> Callable[[type[T]], type[T]]:
        """Register the decorated attrs class under a tag."""

        def register(cls: type[T]) -> type[T]:
            if tag in self._classes:
                raise ValueError(f"tag {tag!r} is taken")
            self._classes[tag] = cls
            self._tags[cls] = tag
            return cls

        return register

    def tag_of(self, message: object) -> str:
        """Give the tag of a message's class."""
        return self._tags[type(message)]

    def encode(self, message: object) -> bytes:
        """Return the MessagePack form; raises ``UnsendableMessage``."""
        try:
            return msgspec.msgpack.encode((self.tag_of(message), message))
        except (OverflowError, RecursionError) as error:
            raise UnsendableMessage(f"{self.tag_of(message)}: {error}") from error

    def decode(self, data: bytes) -> object:
        """Read the MessagePack form; raises ``UnknownMessage``."""
        try:
            tag, raw = msgspec.msgpack.decode(data, type=tuple[str, msgspec.Raw])
            return msgspec.msgpack.decode(raw, type=self._class(tag))
        except (msgspec.MsgspecError, RecursionError) as error:
            raise UnknownMessage(str(error)) from error

    def encode_line(self, message: object) -> bytes:
        """Give the form of a history: one line of JSON."""
        return msgspec.json.encode((self.tag_of(message), message)) + b"\n"

    def decode_line(self, line: bytes) -> object:
        """Read a line of a history; raises ``UnknownMessage``."""
        try:
            tag, raw = msgspec.json.decode(line, type=tuple[str, msgspec.Raw])
            return msgspec.json.decode(raw, type=self._class(tag))
        except (msgspec.MsgspecError, RecursionError) as error:
            raise UnknownMessage(str(error)) from error

    def _class(self, tag: str) -> type[Any]:
        try:
            return self._classes[tag]
        except KeyError:
            raise UnknownMessage(f"no message has the tag {tag!r}") from None
