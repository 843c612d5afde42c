"""Entries of targets: what one must hold to be used, and that others can't harm the list."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.platform.targets import UnreadableTarget, read_target

GOOD = {
    "Service": "engines",
    "Address": "10.0.0.1:80",
    "Zone": "dc-0",
    "Version": "v1",
    "Slots": 12,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 1,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


def entry(**changed: object) -> bytes:
    fields = {name: value for name, value in {**GOOD, **changed}.items() if value is not ...}
    return json.dumps(fields).encode()


def test_an_entry_tells_the_start_of_its_process() -> None:
    assert read_target("servers/e1", entry(born=1_700_000_000_123)).started_ms == 1_700_000_000_123
    assert read_target("servers/e1", entry()).started_ms is None


@pytest.mark.parametrize("field", sorted(GOOD))
def test_an_entry_that_lacks_a_field_names_no_target(field: str) -> None:
    """Another program writes an entry that looks like a target's and lacks a part.

    Nothing vouches for the rest of it: taken for a target it would draw requests that
    nobody answers.
    """
    with pytest.raises(UnreadableTarget):
        read_target("servers/e1", entry(**{field: ...}))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("State", "resting"),
        ("State", 1),
        ("Slots", "12"),
        ("Slots", 0),
        ("Slots", True),
        ("Address", "10.0.0.1"),
        ("Address", "somewhere:80"),
        ("Address", "10.0.0.1:0"),
        ("Address", "10.0.0.1:70000"),
        ("Service", ""),
        ("Zone", None),
        ("Version", 1),
        ("Sequence", "4"),
        ("ColdRemainingMs", "none"),
        ("born", 17.5),
        ("born", "1700000000123"),
        ("born", None),
        ("born", True),
    ],
)
def test_a_field_of_another_kind_names_no_target(field: str, value: object) -> None:
    with pytest.raises(UnreadableTarget):
        read_target("servers/e1", entry(**{field: value}))


def test_bytes_that_cannot_be_read_name_no_target() -> None:
    for value in (b"", b"\xff\xfe\x00", b"[]", b"null", b'{"Service":', b"{" * 5_000):
        with pytest.raises(UnreadableTarget):
            read_target("servers/e1", value)


@given(value=st.binary(max_size=80))
def test_any_bytes_are_read_or_refused(value: bytes) -> None:
    with pytest.raises(UnreadableTarget):
        read_target("servers/e1", value)


@given(field=st.sampled_from([*GOOD, "born"]), value=JSON)
def test_any_value_of_a_field_is_read_or_refused(field: str, value: object) -> None:
    try:
        read_target("servers/e1", entry(**{field: value}))
    except UnreadableTarget:
        return
