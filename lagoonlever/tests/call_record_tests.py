"""What a VM notes of the attempts of one call: whether any target may have run it."""

from __future__ import annotations

from typing import cast

from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.call_exchange import CallRecord


def new_record() -> CallRecord:
    """Return the record of a call; of the request itself nothing is read here."""
    return CallRecord(accepted=cast(Accepted, None))


def test_a_refusal_does_not_hide_an_earlier_attempt_at_the_same_target() -> None:
    """Guards against "not run" as a target has started again under its id and turns work away."""
    call = new_record()
    call.written("runner-0")
    call.written("runner-0")
    call.denied()
    assert call.may_have_run


def test_a_call_that_every_target_has_refused_has_not_run() -> None:
    call = new_record()
    for target in ("runner-0", "runner-1"):
        call.written(target)
        call.denied()
    assert not call.may_have_run
    assert call.sent == 2
