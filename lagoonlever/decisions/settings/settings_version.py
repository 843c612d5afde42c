"""Which version of the settings a VM has in force, and whether it may take work on it.

The version never goes back. How fresh it is comes only from answers to questions
that the VM asked itself: the platform's, or a peer's that tells how long ago the
platform confirmed its version.
"""

from __future__ import annotations

import enum

import attrs

from lagoonlever.config.options import option


class SettingsStanding(enum.Enum):
    """Whether a VM may take new work as far as the settings go."""

    STARTING = "starting"
    """It has no version yet, or has not heard enough to know the highest."""
    UNCONFIRMED = "unconfirmed"
    """It was paused and has not been told since that its version is in force."""
    ISOLATED = "isolated"
    """It reaches neither the platform nor a peer for too long."""
    SERVING = "serving"


@attrs.frozen(kw_only=True)
class SettingsVersionOptions:
    """The section ``settings`` of a VM: how it learns of the settings tree and relies on it."""

    isolation_limit_s: float = option(
        default=30.0,
        at_least=1.0,
        doc="A VM that has peers and reaches neither them nor the platform for so long "
        "takes no new work.",
    )
    settle_s: float = option(
        default=1.0,
        at_least=0.0,
        doc="How long a VM that starts or wakes in an outage of the platform hears its peers "
        "before it relies on the highest version that they told.",
    )
    watchers_per_data_center: int = option(
        default=3,
        at_least=1,
        at_most=1000,
        doc="VMs of a data centre that watch the platform; the others are told by peers.",
    )
    guard_poll_s: float = option(
        default=2.0,
        at_least=0.1,
        at_most=60.0,
        doc="How often a watching VM also reads the settings, against a watch that stopped.",
    )
    ask_period_s: float = option(
        default=2.0, at_least=0.1, at_most=60.0, doc="How often a VM asks one peer for its version."
    )
    fanout: int = option(
        default=8, at_least=1, at_most=100, doc="Peers that a VM tells of a version at once."
    )


@attrs.frozen(kw_only=True)
class _Guards:
    """Switches for tests that show what each guard is for."""

    never_back: bool = True
    confirm_after_pause: bool = True
    settle: bool = True


@attrs.define(kw_only=True)
class SettingsVersion:
    """One VM's version and what it knows about it; times in monotonic seconds.

    A round begins at the start and at each wake from a pause. Only an answer to a
    question asked within the round counts for it: an older one may have waited in
    a socket's buffer while other VMs moved on.
    """

    _options: SettingsVersionOptions
    _round_began: float
    _guards: _Guards = attrs.field(factory=_Guards)
    _version: int | None = None
    _confirmed_at: float | None = None
    _reached_at: float = attrs.field(init=False)
    _paused: bool = False
    _round_done: bool = False
    _platform_failed: bool = False
    _first_peer_answer_at: float | None = None

    def __attrs_post_init__(self) -> None:
        self._reached_at = self._round_began

    @property
    def version(self) -> int | None:
        """The version in force, or None before the first."""
        return self._version

    def age_s(self, now: float) -> float | None:
        """Give how long ago the platform is known to have had this version as its newest."""
        return None if self._confirmed_at is None else max(0.0, now - self._confirmed_at)

    def is_newer(self, version: int) -> bool:
        """Tell whether a version is to be fetched and adopted."""
        return self._version is None or version > self._version

    def standing(self, now: float, *, known_peers: int) -> SettingsStanding:
        """Tell whether new work may be taken on this version."""
        if self._version is None:
            return SettingsStanding.STARTING
        if not self._round_is_over(now, known_peers):
            return SettingsStanding.UNCONFIRMED if self._paused else SettingsStanding.STARTING
        if known_peers and now - self._reached_at > self._options.isolation_limit_s:
            return SettingsStanding.ISOLATED
        return SettingsStanding.SERVING

    def on_version(self, version: int) -> bool:
        """Take note of a version whose tree is at hand; True if it goes into force.

        Guards against a late answer, a watch that replays, or a peer that lags:
        they show as a lower version after a higher one. Revisions of the platform
        only grow, so that the higher of two is always the later change.
        """
        if self._guards.never_back and not self.is_newer(version):
            return False
        if version == self._version:
            return False
        self._version = version
        self._confirmed_at = None
        return True

    def on_platform_answer(self, *, version: int, asked_at: float) -> None:
        """Take note that the platform told its newest version, after ``on_version``."""
        self._reached_at = max(self._reached_at, asked_at)
        if version == self._version:
            self._confirm(asked_at)
        if asked_at >= self._round_began:
            self._round_done = True

    def on_platform_failure(self, *, asked_at: float) -> None:
        """Take note that the platform did not answer a question."""
        if asked_at >= self._round_began:
            self._platform_failed = True

    def on_peer_answer(
        self, *, version: int | None, age_s: float | None, asked_at: float, now: float
    ) -> None:
        """Take note of a peer's answer, after ``on_version``; ``age_s`` is as the peer told it."""
        self._reached_at = max(self._reached_at, asked_at)
        if version is not None and version == self._version and age_s is not None:
            self._confirm(asked_at - age_s)
        if asked_at < self._round_began:
            return
        if self._first_peer_answer_at is None:
            self._first_peer_answer_at = now

    def on_pause(self, now: float) -> None:
        """Begin a round: this VM was paused, so that its version may be an old one.

        Guards against a VM that wakes minutes later and admits work under limits
        or keys that were withdrawn meanwhile, while every other VM has moved on.
        """
        if not self._guards.confirm_after_pause:
            return
        self._paused = True
        self._round_began = now
        self._round_done = False
        self._platform_failed = False
        self._first_peer_answer_at = None

    def _confirm(self, at: float) -> None:
        self._confirmed_at = at if self._confirmed_at is None else max(self._confirmed_at, at)

    def _round_is_over(self, now: float, known_peers: int) -> bool:
        if self._round_done or not self._guards.settle:
            return True
        if known_peers == 0:
            return self._platform_failed
        # Not as soon as all known peers have answered: a VM that starts knows of
        # one peer first, which may be the one that lags.
        first = self._first_peer_answer_at
        return first is not None and now - first >= self._options.settle_s
