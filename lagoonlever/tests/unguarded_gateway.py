"""The gateway without the guard that a call which may have run goes to no second runner."""

from __future__ import annotations

import sys

from lagoonlever.gateway.call_exchange import CallRecord
from lagoonlever.gateway.once_calls import OnceCalls
from lagoonlever.gateway.program import run_gateway
from lagoonlever.gateway.target_client import Answered

_guarded = OnceCalls._attempts


async def _attempts(self: OnceCalls, call: CallRecord) -> Answered | None:
    answered = await _guarded(self, call)
    if answered is None and call.sent:
        call.sent = 0
        answered = await _guarded(self, call)
    return answered


if __name__ == "__main__":
    OnceCalls._attempts = _attempts
    sys.exit(run_gateway())
