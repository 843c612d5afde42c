"""Answers that a test writes out, for a stand-in of a target to send in place of its own."""

from __future__ import annotations

from collections import Counter, deque

import attrs
import trio

from lagoonlever.http.exchange import CallerGone, Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.platform.headers import REQUEST_ID, SEAL

OK = 200


@attrs.frozen(kw_only=True)
class ScriptedAnswer:
    """One answer; in ``before``, ``after`` and ``late`` the text ``{id}`` is the request's id."""

    runs: bool = True
    """Whether the target runs the request, before the first byte leaves."""
    status: int | None = OK
    """None where only ``before`` is sent, and the connection closes."""
    fields: tuple[tuple[str, str], ...] = ()
    """Beside the request's id and, for an answer without any, the seal."""
    named: bool = True
    """Whether the answer names its request."""
    body: bytes = b""
    body_after_s: float = 0.0
    """From the head until the body."""
    before: bytes = b""
    """Bytes ahead of the answer, in the same write if there is no other one."""
    after: bytes = b""
    """Bytes behind the answer."""
    late: bytes = b""
    """Bytes where the next answer on the connection is due."""


@attrs.define(kw_only=True, eq=False)
class ScriptedAnswers:
    """The answers that are still to be sent, in turn."""

    runs: Counter[str]
    """How often the target has run each request."""
    next_ones: deque[ScriptedAnswer] = attrs.field(factory=deque)
    _late: dict[str, bytes] = attrs.field(factory=dict)
    """Bytes that are still to come, by the peer of the connection."""

    async def play(self, exchange: Exchange) -> bool:
        """Send what is due to a request; return False where its target is to answer itself."""
        late = self._late.pop(exchange.request.peer, b"")
        if late:
            await exchange.write_raw(late)
        if not self.next_ones:
            return False
        await self._send(exchange, self.next_ones.popleft())
        return True

    async def _send(self, exchange: Exchange, answer: ScriptedAnswer) -> None:
        request_id = exchange.request.headers.get(REQUEST_ID) or ""
        if answer.runs:
            self.runs[request_id] += 1
        if answer.late:
            self._late[exchange.request.peer] = _named(answer.late, request_id)
        if answer.before:
            await exchange.write_raw(_named(answer.before, request_id))
        if answer.status is None:
            raise CallerGone
        headers = _fields(answer, request_id)
        if answer.body_after_s:
            length = ("Content-Length", str(len(answer.body)))
            await exchange.start_stream(
                status=answer.status, headers=Headers((*headers.pairs, length))
            )
            await trio.sleep(answer.body_after_s)
            await exchange.write(answer.body)
            await exchange.finish()
        else:
            await exchange.respond(status=answer.status, headers=headers, body=answer.body)
        if answer.after:
            await exchange.write_raw(_named(answer.after, request_id))


def _named(data: bytes, request_id: str) -> bytes:
    return data.replace(b"{id}", request_id.encode())


def _fields(answer: ScriptedAnswer, request_id: str) -> Headers:
    name = ((REQUEST_ID, request_id),) if answer.named else ()
    seal = () if answer.fields else ((SEAL, f"seal-{request_id}"),)
    return Headers((*name, *seal, *answer.fields))
