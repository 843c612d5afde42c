"""Which requests are the same work."""

from __future__ import annotations

import attrs
import pytest

from lagoonlever.decisions.engines.fingerprints import RequestIdentity

WORK = RequestIdentity(
    host="shop.example",
    method="POST",
    target="/stream/1?a=1",
    organisation="org-1",
    body=b"{}",
)


def test_the_same_work_has_the_same_name_on_every_vm() -> None:
    assert WORK.fingerprint() == attrs.evolve(WORK).fingerprint()
    assert WORK.fingerprint() == "eccacb48b7ee53d0"


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
def test_other_work_has_another_name(change: dict[str, object]) -> None:
    assert attrs.evolve(WORK, **change).fingerprint() != WORK.fingerprint()


def test_fields_do_not_run_into_each_other() -> None:
    one = attrs.evolve(WORK, target="/a", organisation="bc").fingerprint()
    assert one != attrs.evolve(WORK, target="/ab", organisation="c").fingerprint()
