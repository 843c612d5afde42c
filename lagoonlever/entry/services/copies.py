"""Sends the settled answers of this home to other VMs, and keeps those of other homes."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.claims.answer_copies import (
    MAX_COPIED_BYTES,
    AnswerCopies,
    CopyLookup,
    choose_copy_holders,
)
from lagoonlever.decisions.claims.key_table import KeyRecord, StoredAnswer
from lagoonlever.decisions.claims.keys import HomedKey, parse_homed_key
from lagoonlever.decisions.membership.membership import Member, MemberView
from lagoonlever.entry.services.call import outcome_of_tag
from lagoonlever.http.messages import Headers
from lagoonlever.outcomes import Done, Outcome, OutcomeTag, Reason
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_services import HeaderField, KeyAnswer
from lagoonlever.published import Published


@attrs.define(kw_only=True)
class AnswerCopier:
    """Owns the copies that this VM keeps; without a bus nothing is sent or received."""

    _members: Published[MemberView]
    _bus: Bus | None
    _copies: AnswerCopies = attrs.field(factory=AnswerCopies)

    async def run(self) -> None:
        """Keep what other homes send, until cancelled."""
        if self._bus is None:
            return
        async for received in self._bus.subscribe(KeyAnswer):
            self._keep(received.message)

    def send(self, record: KeyRecord) -> None:
        """Send a settled answer to the members that keep copies for this home."""
        if self._bus is None or record.answer is None:
            return
        if record.answer.size_bytes > MAX_COPIED_BYTES:
            return
        message = _message_of(record, record.answer)
        for member in choose_copy_holders(record.key.home, self._members.value):
            self._bus.send(member.peers, message)

    def find(self, key: HomedKey, *, fingerprint: bytes) -> CopyLookup:
        """Look for another home's answer here."""
        return self._copies.find(key, fingerprint=fingerprint)

    def holders(self, key: HomedKey) -> tuple[Member, ...]:
        """Give the other members that may keep a copy of a key's answer."""
        view = self._members.value
        return tuple(
            member
            for member in choose_copy_holders(key.home, view)
            if member.incarnation != view.own
        )

    def _keep(self, message: KeyAnswer) -> None:
        key = parse_homed_key(message.key)
        outcome = _outcome_of(message)
        if key is None or outcome is None:
            return
        answer = StoredAnswer(
            outcome=outcome,
            status=message.status,
            headers=Headers(tuple((field.name, field.value) for field in message.headers)),
            body=message.body,
        )
        self._copies.store(key, fingerprint=message.fingerprint, answer=answer)


def _outcome_of(message: KeyAnswer) -> Outcome | None:
    """Read the outcome; None for one of a later release, whose copy is as good as lost."""
    try:
        tag = OutcomeTag(message.tag)
        reason = Reason(message.reason) if message.reason else Reason.TARGET_FAILED
    except ValueError:
        return None
    return outcome_of_tag(tag, reason=reason, status=message.status)


def _message_of(record: KeyRecord, answer: StoredAnswer) -> KeyAnswer:
    outcome = answer.outcome
    return KeyAnswer(
        key=str(record.key),
        fingerprint=record.fingerprint,
        tag=outcome.tag.value,
        reason=None if isinstance(outcome, Done) else outcome.reason.value,
        status=answer.status,
        headers=tuple(HeaderField(name=name, value=value) for name, value in answer.headers.pairs),
        body=answer.body,
    )
