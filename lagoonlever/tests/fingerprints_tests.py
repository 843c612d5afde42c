"""Fingerprints of requests: equal for the same work only."""

from __future__ import annotations

import attrs
import pytest

from lagoonlever.decisions.engines.fingerprints import RequestIdentity

REQUEST = RequestIdentity(
    host="shop.example",
    method="POST",
    target="/stream/1?a=1",
    organisation="org-1",
    body=b"{}",
)


def test_the_same_request_has_the_same_fingerprint_on_every_vm() -> None:
    assert REQUEST.fingerprint() == attrs.evolve(REQUEST).fingerprint()
    assert REQUEST.fingerprint() == "eccacb48b7ee53d0"


@pytest.mark.parametrize(
    "change",
    [
        {"host": "other.example"},
        {"method": "PUT"},
        {"target": "/stream/1?a=2"},
        {"organisation": "org-2"},
        {"organisation": None},
        {"body": b"{ }"},
    ],
)
def test_any_changed_field_changes_the_fingerprint(change: dict[str, object]) -> None:
    assert attrs.evolve(REQUEST, **change).fingerprint() != REQUEST.fingerprint()


def test_adjacent_fields_are_separated_in_the_digest() -> None:
    one = attrs.evolve(REQUEST, target="/a", organisation="bc").fingerprint()
    assert one != attrs.evolve(REQUEST, target="/ab", organisation="c").fingerprint()
