"""Records what a caller saw, for the checkers of histories."""

from __future__ import annotations

import attrs

from lagoonlever.entry.callers.completion_chunks import GenerationNote
from lagoonlever.entry.fleet.addresses import EntryAnswer
from lagoonlever.history.events_callers import (
    CallerAsked,
    CallerGotOutcome,
    CallerReceived,
    CallerToldGeneration,
)
from lagoonlever.history.events_stops import CallerCut, CallerNotConnected, CallerToldAddresses
from lagoonlever.history.recorder import Recorder
from lagoonlever.identity import EventId


def record_told_addresses(recorder: Recorder, *, caller: str, answer: EntryAnswer) -> None:
    """Record which VMs a caller was told to use."""
    recorder.record(
        CallerToldAddresses(
            at=recorder.now,
            process=recorder.process,
            caller=caller,
            addresses=answer.addresses,
            lifetime_s=answer.lifetime_s,
        )
    )


@attrs.define(kw_only=True)
class CallerHistory:
    """The events of one request as its caller sees them."""

    _recorder: Recorder
    _caller: str
    _request: str

    def asked(
        self,
        *,
        vm: str,
        model: str,
        prompt: str,
        max_tokens: int,
        stop: tuple[str, ...],
        last: EventId | None,
    ) -> None:
        """Record that the request is sent, by a caller that holds the tokens up to ``last``."""
        self._recorder.record(
            CallerAsked(
                at=self._recorder.now,
                process=self._recorder.process,
                caller=self._caller,
                request=self._request,
                vm=vm,
                model=model,
                prompt=prompt,
                max_tokens=max_tokens,
                stop=stop,
                held_generation=last.generation if last else 0,
                held_tokens=last.offset if last else 0,
            )
        )

    def told_generation(self, note: GenerationNote) -> None:
        """Record a note on the generation that the following tokens are of."""
        self._recorder.record(
            CallerToldGeneration(
                at=self._recorder.now,
                process=self._recorder.process,
                caller=self._caller,
                request=self._request,
                generation=note.generation,
                model_version=note.model_version,
                seed=note.seed,
                prompt_token_ids=note.prompt_token_ids,
            )
        )

    def received(self, *, last: EventId, token_ids: tuple[int, ...], text: str) -> None:
        """Record tokens that came."""
        self._recorder.record(
            CallerReceived(
                at=self._recorder.now,
                process=self._recorder.process,
                caller=self._caller,
                request=self._request,
                generation=last.generation,
                attempt=last.attempt,
                offset=last.offset - len(token_ids),
                token_ids=token_ids,
                text=text,
                event_id=str(last),
            )
        )

    def lost(self, *, address: str, connected: bool) -> None:
        """Record that a VM was not reached, or was lost before its answer's end."""
        event = CallerCut if connected else CallerNotConnected
        self._recorder.record(
            event(
                at=self._recorder.now,
                process=self._recorder.process,
                caller=self._caller,
                request=self._request,
                address=address,
            )
        )

    def got_outcome(
        self,
        *,
        tag: str,
        status: int,
        reason: str | None = None,
        finish_reason: str | None = None,
        completion_tokens: int | None = None,
    ) -> None:
        """Record the final answer."""
        self._recorder.record(
            CallerGotOutcome(
                at=self._recorder.now,
                process=self._recorder.process,
                caller=self._caller,
                request=self._request,
                tag=tag,
                status=status,
                reason=reason,
                finish_reason=finish_reason,
                completion_tokens=completion_tokens,
            )
        )
