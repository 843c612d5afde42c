"""The register of gateways in the store: each VM's entry lives as long as its lease."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import logbook
import msgspec

from lagoonlever.decisions.fleet.peer_table import PeerState, PeerTable
from lagoonlever.gateway import events
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.store.port import KeyValue
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

REGISTER_PREFIX = "lagoonlever/vms/"


class RegisterEntry(msgspec.Struct, kw_only=True):
    """What a gateway writes of itself."""

    callers: str
    bus: str
    data_center: str


def register_key(own: Incarnation) -> str:
    """Return the key of one life of a VM."""
    return f"{REGISTER_PREFIX}{own}"


def encode_entry(state: PeerState) -> bytes:
    """Return the value that a VM writes under its key."""
    entry = RegisterEntry(
        callers=str(state.callers), bus=str(state.bus), data_center=state.data_center
    )
    return msgspec.json.encode(entry)


@attrs.define(kw_only=True, eq=False)
class Register:
    """Takes the entries into the table of fellows."""

    _fellows: PeerTable
    _timers: TimerService

    def read(self, entries: Iterable[KeyValue]) -> None:
        """Take the whole register."""
        for entry in entries:
            self._take(entry)

    def _take(self, entry: KeyValue) -> None:
        life = _life(entry.key)
        if life is None:
            return
        try:
            read = msgspec.json.decode(entry.value, type=RegisterEntry)
            state = PeerState(
                life=life,
                data_center=read.data_center,
                callers=Address.parse(read.callers),
                bus=Address.parse(read.bus),
            )
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            events.FELLOW_UNREADABLE.log(log, error=f"{entry.key}: {error}")
            return
        self._fellows.record_registration(state, self._timers.now)
        events.FELLOW_LISTED.log(log, vm=life.name, life=str(life), state="registered")


def _life(key: str) -> Incarnation | None:
    try:
        return Incarnation.parse(key.removeprefix(REGISTER_PREFIX))
    except ValueError as error:
        events.FELLOW_UNREADABLE.log(log, error=f"{key}: {error}")
        return None
