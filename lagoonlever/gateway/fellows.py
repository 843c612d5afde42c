"""The register of gateways in the store: each VM's entry lives as long as its lease."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import logbook
import msgspec

from lagoonlever.entry.published import Published
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import FellowVm
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.store.port import KeyChange, KeyValue

log = logbook.Logger(__name__)

FELLOWS_PREFIX = "lagoonlever/vms/"


class FellowEntry(msgspec.Struct, kw_only=True):
    """What a gateway writes of itself."""

    address: str
    data_center: str
    leaving: bool = False


def fellow_key(own: Incarnation) -> str:
    """Give the key of one life of a VM."""
    return f"{FELLOWS_PREFIX}{own}"


@attrs.define(kw_only=True)
class Fellows:
    """Keeps the newest life of each VM that is registered and does not leave."""

    _published: Published[tuple[FellowVm, ...]]
    _entries: dict[str, FellowEntry] = attrs.field(factory=dict)

    def read(self, entries: Iterable[KeyValue]) -> None:
        """Take the whole register."""
        self._entries = {}
        for entry in entries:
            self._put(entry)
        self._publish()

    def change(self, change: KeyChange) -> None:
        """Take one change of the register."""
        if change.entry is not None:
            self._put(change.entry)
        else:
            self._entries.pop(change.key, None)
        name = change.key.removeprefix(FELLOWS_PREFIX)
        state = "registered" if change.entry is not None else "gone"
        events.FELLOW_LISTED.log(log, vm=name.partition("~")[0], incarnation=name, state=state)
        self._publish()

    def _put(self, entry: KeyValue) -> None:
        try:
            self._entries[entry.key] = msgspec.json.decode(entry.value, type=FellowEntry)
        except msgspec.MsgspecError as error:
            events.TARGET_UNREADABLE.log(log, error=f"{entry.key}: {error}")

    def _publish(self) -> None:
        newest: dict[str, Incarnation] = {}
        for key in self._entries:
            life = Incarnation.parse(key.removeprefix(FELLOWS_PREFIX))
            known = newest.get(life.name)
            if known is None or life > known:
                newest[life.name] = life
        fellows = []
        for life in newest.values():
            entry = self._entries[fellow_key(life)]
            if not entry.leaving:
                fellows.append(
                    FellowVm(
                        name=life.name,
                        incarnation=str(life),
                        data_center=entry.data_center,
                        address=Address.parse(entry.address),
                    )
                )
        self._published.publish(tuple(fellows))
