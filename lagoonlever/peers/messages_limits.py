"""What gateways tell each other of targets that name limits, and how they ask for permits.

A message that is lost costs a request that is sent elsewhere, or one answer more until a VM hears
of a limit by itself.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.targets.limit_permits import Denied, Granted, PermitOutcome
from lagoonlever.decisions.targets.reported_limits import LimitReport
from lagoonlever.http.messages import Address
from lagoonlever.peers.messages import PEER


@attrs.frozen(kw_only=True)
class WordTold:
    """What a target has said of its limit, some seconds ago."""

    target: str
    per_s: float | None
    age_s: float
    started_ms: int | None = None
    """The start of the target's process, where it is known."""

    @classmethod
    def of(cls, target: str, word: LimitReport, *, started_ms: int | None, now: float) -> WordTold:
        """Give the message of a word."""
        age_s = max(0.0, now - word.at)
        return cls(target=target, per_s=word.per_s, age_s=age_s, started_ms=started_ms)

    def word(self, now: float) -> LimitReport:
        """Give the word by this VM's clock."""
        return LimitReport(per_s=self.per_s, at=now - self.age_s)


@PEER.message("lw")
@attrs.frozen(kw_only=True)
class LimitsTold:
    """Limits that have begun or ended."""

    words: tuple[WordTold, ...]


@PEER.message("la")
@attrs.frozen(kw_only=True)
class PermitAsk:
    """Asks whether one request may be sent to a target."""

    number: int
    """Of the question, among those of its VM."""
    reply_to: Address
    word: WordTold
    need: float


@PEER.message("lt")
@attrs.frozen(kw_only=True)
class PermitTold:
    """The answer; with what the VM that counts has heard last, if it names another limit."""

    number: int
    wait_s: float | None = None
    """Until one may be free; None where the request may be sent."""
    counted: bool = True
    word: WordTold | None = None

    @classmethod
    def of(cls, number: int, outcome: PermitOutcome, word: WordTold | None) -> PermitTold:
        """Give the message that tells an outcome."""
        if isinstance(outcome, Denied):
            return cls(number=number, wait_s=outcome.wait_s, word=word)
        return cls(number=number, counted=outcome.counted, word=word)

    @property
    def outcome(self) -> PermitOutcome:
        """What was decided."""
        return Granted(counted=self.counted) if self.wait_s is None else Denied(wait_s=self.wait_s)
