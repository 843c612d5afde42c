"""Every document of the store, written by anybody: it is read or refused, and nothing else."""

from __future__ import annotations

import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.fleet.peer_table import PeerTable
from lagoonlever.gateway.register import REGISTER_PREFIX, Register
from lagoonlever.identity import Incarnation
from lagoonlever.platform.configuration import UnreadableConfiguration, read_configuration
from lagoonlever.platform.store_wire import Item
from lagoonlever.store.port import KeyValue
from lagoonlever.tests.base import at
from lagoonlever.tests.gateway_site import configuration
from lagoonlever.tests.platform_targets_tests import JSON
from lagoonlever.timers import TimerService

DOCUMENT = configuration()


def paths(value: object, at: tuple[object, ...] = ()) -> list[tuple[object, ...]]:
    """Give the way to every place in a document."""
    inner: list[tuple[object, object]] = []
    if isinstance(value, dict):
        inner = list(value.items())
    elif isinstance(value, list):
        inner = list(enumerate(value))
    return [at, *(path for key, item in inner for path in paths(item, (*at, key)))]


def replaced(document: object, path: tuple[object, ...], value: object) -> object:
    """Give a copy of a document with another value at a place."""
    if not path:
        return value
    copied = json.loads(json.dumps(document))
    inner = copied
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return copied


@given(path=st.sampled_from(paths(DOCUMENT)), value=JSON)
def test_a_configuration_is_read_or_refused(path: tuple[object, ...], value: object) -> None:
    changed = json.dumps(replaced(DOCUMENT, path, value)).encode()
    try:
        read_configuration(changed)
    except UnreadableConfiguration:
        return


@given(value=st.binary(max_size=80))
def test_any_bytes_are_no_configuration(value: bytes) -> None:
    with pytest.raises(UnreadableConfiguration):
        read_configuration(value)


@given(key=st.text(max_size=40), value=st.binary(max_size=80) | JSON.map(lambda v: json.dumps(v)))
def test_an_entry_of_the_register_by_anybody_is_skipped(key: str, value: bytes | str) -> None:
    """The register of VMs holds an entry that no VM wrote; the start of a VM reads it."""
    table = PeerTable(own=Incarnation(name="vm-0", started_ms=1, nonce=1))
    register = Register(fellows=table, timers=TimerService())
    written = value.encode() if isinstance(value, str) else value
    name = f"{REGISTER_PREFIX}{key}"
    register.read([KeyValue(key=name, value=written, revision=at(1), created_revision=1, lease=0)])
    assert not table.states


@given(value=st.text(max_size=40))
def test_a_value_in_any_text_is_read_or_empty(value: str) -> None:
    """One damaged value must not fail the reading of the keys beside it."""
    read = Item(key="servers/e1", value=value, revision=3).entry(1)
    assert read.revision == at(3, era=1)
    if read.value:
        assert base64.b64encode(read.value).decode() == value
