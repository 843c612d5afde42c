"""Where an attempt of a stream goes, and what all attempts work with."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.engines.correlated_loss import CorrelatedLoss
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.streams.engine_runs import EngineRun, RunCopy
from lagoonlever.decisions.streams.silence import SilenceDetector
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.crash_watch import CrashWatch
from lagoonlever.gateway.dialer import TargetDialer
from lagoonlever.gateway.learner import Learner
from lagoonlever.gateway.prober import EngineProber
from lagoonlever.gateway.replacement_finder import ReplacementFinder
from lagoonlever.gateway.reporter import Reporter
from lagoonlever.gateway.retry_budgets import RetryBudgets
from lagoonlever.gateway.rollouts import Rollouts
from lagoonlever.gateway.run_copier import RunCopier
from lagoonlever.gateway.run_ender import RunEnder
from lagoonlever.gateway.target_client import TargetClient
from lagoonlever.gateway.target_words import TargetWords
from lagoonlever.gateway.version_record import VersionRecord
from lagoonlever.http.messages import Address
from lagoonlever.timers import TimerService


@attrs.frozen(kw_only=True)
class AttemptPlan:
    """Where an attempt goes; ``copy_from`` is what it goes on from."""

    engine: ListedTarget
    run: EngineRun
    copy_to: ListedTarget | None
    copy_from: RunCopy | None
    limits: EngineLimits
    reason: str
    by_line: bool = False
    """Its place was given by the line, to nobody else."""
    gathered: bool = False
    """It goes where all returns of a request go that one more end would bar."""


@attrs.define(kw_only=True, eq=False)
class AttemptTools:
    """What every attempt works with."""

    beliefs: Beliefs
    learner: Learner
    timers: TimerService
    client: TargetClient
    prober: EngineProber
    reporter: Reporter
    budgets: RetryBudgets
    replacements: ReplacementFinder
    crashes: CrashWatch
    rollouts: Rollouts
    versions: VersionRecord
    words: TargetWords
    copier: RunCopier
    ender: RunEnder
    dialer: TargetDialer
    watched: dict[str, set[SilenceDetector]] = attrs.field(factory=dict)
    """The open attempts by engine, to be looked at when the engine seems lost."""
    losses: CorrelatedLoss = attrs.field(factory=CorrelatedLoss)

    def engine_lost(self, engine: str) -> None:
        """Have the open attempts on a lost engine ask it at once, or those of its whole place."""
        target = self.beliefs.targets.find(engine)
        together = target is not None and self.losses.record_loss(
            engine, target.data_center, self.timers.now
        )
        for other in list(self.watched):
            found = self.beliefs.targets.find(other) if together else None
            beside = found is not None and target and found.data_center == target.data_center
            if other == engine or beside:
                self._suspect(other)

    async def path_changed(self, address: Address) -> None:
        """Use an engine again that was avoided as this VM alone did not reach it."""
        targets = self.beliefs.targets.targets
        for engine in (target.id for target in targets if target.address == address):
            self.beliefs.book.avoidance.record_success(engine)

    def engine_started_again(self, engine: str) -> None:
        """Have the open attempts at an engine ask it at once: its process is another one."""
        self._suspect(engine)

    def _suspect(self, engine: str) -> None:
        for silence in self.watched.get(engine, ()):
            silence.query_at_once(self.timers.now)
