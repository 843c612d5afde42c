"""Plays of troubles between gateways and runners, each with its dose.

``python -m lagoonlever.tests.refused_bids_plays PLAY`` runs one by hand.
"""

from __future__ import annotations

import argparse
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import trio

from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.tests.refused_bids_clients import Habits
from lagoonlever.tests.refused_bids_judge import Verdict, count_troubles, judge
from lagoonlever.tests.refused_bids_runner import Trouble, TroubleKind
from lagoonlever.tests.refused_bids_site import OWN_CODE, REQUESTS_PER_S, RefusedBidsSite

RUNNERS = 4
WINDOW_S, WINDOW_EVERY_S = 5.0, 7.0
"""A trouble of the site's list lasts so long, and comes again so often."""
MOST_MORE_S = 40.0
"""For so long a play goes on where it has not had its fewest troubles: on a busy machine."""

Act = Callable[[RefusedBidsSite], Awaitable[None]]


@attrs.frozen(kw_only=True)
class RunnerTrouble:
    """A trouble of a share of the runners, all the time or in windows."""

    kind: TroubleKind
    share: float
    """Of the requests."""
    of_runners: float = 1.0
    always: bool = False
    status: int = 503
    only: str = ""
    for_s: float = WINDOW_S

    def windows(self, seconds: float) -> tuple[Trouble, ...]:
        """Return the times at which it strikes."""
        if self.always:
            return (self._at(0.0, seconds),)
        count = int(seconds // WINDOW_EVERY_S) + 1
        return tuple(self._at(n * WINDOW_EVERY_S + 1.0, self.for_s) for n in range(count))

    def _at(self, at_s: float, for_s: float) -> Trouble:
        return Trouble(
            kind=self.kind,
            at_s=at_s,
            for_s=for_s,
            share=self.share,
            status=self.status,
            only=self.only,
        )


@attrs.frozen(kw_only=True)
class Play:
    """What goes wrong at the same time."""

    troubles: tuple[RunnerTrouble, ...] = ()
    acts: tuple[Act, ...] = ()
    load: float = 1.0
    """Times the usual requests a second."""
    over_paths: bool = False
    habits: Habits = attrs.field(factory=Habits)

    def of_runner(self, number: int, seconds: float) -> tuple[Trouble, ...]:
        """Return the troubles of one runner."""
        return tuple(
            window
            for trouble in self.troubles
            if number < max(1, round(trouble.of_runners * RUNNERS))
            for window in trouble.windows(seconds)
        )


def _every(first_s: float, every_s: float, act: Act) -> Act:
    async def run(site: RefusedBidsSite) -> None:
        await trio.sleep(first_s)
        while True:
            site.nursery.start_soon(act, site)
            await trio.sleep(every_s)

    return run


def _rng(site: RefusedBidsSite) -> random.Random:
    return random.Random(f"{site.seed}-{site.since_s:.0f}")


async def _pause_runners(site: RefusedBidsSite) -> None:
    for runner in site.runners:
        if _rng(site).random() < 0.6:
            site.nursery.start_soon(site.pause, runner.process, 1.2)


async def _pause_vms(site: RefusedBidsSite) -> None:
    rng = _rng(site)
    for vm in rng.sample(site.vms, max(1, len(site.vms) // 4)):
        if vm.process is not None and vm.process.poll() is None:
            site.nursery.start_soon(site.pause, vm.process, rng.uniform(0.3, 2.0))


def _end_vms(number: signal.Signals) -> Act:
    async def act(site: RefusedBidsSite) -> None:
        for vm in _rng(site).sample(site.vms, max(1, len(site.vms) // 5)):
            if vm.process is not None and vm.process.poll() is None:
                site.nursery.start_soon(site.stop_vm, vm, number)

    return act


async def _reload_vms(site: RefusedBidsSite) -> None:
    for vm in site.vms:
        if vm.process is not None and vm.process.poll() is None:
            vm.process.send_signal(signal.SIGHUP)


def _restart_runner(*, same_id: bool) -> Act:
    async def act(site: RefusedBidsSite) -> None:
        runner = _rng(site).choice(site.runners)
        await site.restart_runner(runner, after_s=0.3, same_id=same_id)

    return act


async def _store_away(site: RefusedBidsSite) -> None:
    site.store.fault = StoreFault.SILENT
    await trio.sleep(4.5)
    site.store.fault = StoreFault.NONE


K = TroubleKind
SITE_COPIES = RunnerTrouble(kind=K.COPY_AT_NEXT, share=0.03, of_runners=0.6)
SITE_SHED = RunnerTrouble(kind=K.SHED, share=0.568, of_runners=0.14, for_s=6.0)
PATHS_CUT = RunnerTrouble(kind=K.CUT, share=0.4, for_s=3.0)
MORE_SHED = RunnerTrouble(kind=K.SHED, share=0.5)


SPOILING = (K.JUNK_LATE, K.JUNK_SOON, K.JUNK_INSTEAD, K.BREAK_OFF)


def _always(kind: TroubleKind, share: float) -> RunnerTrouble:
    return RunnerTrouble(kind=kind, share=share, always=True)


def _copies(share: float, kind: TroubleKind = K.COPY_AT_NEXT, only: str = "") -> RunnerTrouble:
    return RunnerTrouble(kind=kind, share=share, always=True, only=only)


def _fails(status: int, share: float, of_runners: float = 1.0) -> RunnerTrouble:
    return RunnerTrouble(kind=K.FAIL, share=share, status=status, of_runners=of_runners)


PLAYS: dict[str, Play] = {
    "calm": Play(),
    "load": Play(load=2.5),
    # The doses of the site's list.
    "site-copies": Play(troubles=(SITE_COPIES,)),
    "site-copies-load": Play(troubles=(SITE_COPIES,), load=2.5),
    "site-copies-shed": Play(troubles=(SITE_COPIES, SITE_SHED)),
    "site-busy": Play(troubles=(_fails(503, 0.45, 0.14),)),
    "site-reset": Play(troubles=(RunnerTrouble(kind=K.RESET, share=0.05, of_runners=0.5),)),
    "site-lost": Play(troubles=(RunnerTrouble(kind=K.LOSE, share=0.025, of_runners=0.45),)),
    "site-mute": Play(troubles=(RunnerTrouble(kind=K.MUTE, share=0.45, of_runners=0.14),)),
    "site-slow": Play(troubles=(RunnerTrouble(kind=K.SLOW, share=1.0, of_runners=0.25),)),
    # Higher doses.
    "shed": Play(troubles=(MORE_SHED,)),
    "copies-shed": Play(troubles=(_copies(0.05), MORE_SHED)),
    "copies-more-shed": Play(troubles=(_copies(0.3), MORE_SHED)),
    "copies-load": Play(troubles=(_copies(0.3),), load=2.5),
    "copies-soon": Play(troubles=(_copies(0.3, K.COPY_SOON), MORE_SHED)),
    "copies-unnamed": Play(troubles=(_copies(0.3, K.COPY_UNNAMED), MORE_SHED)),
    "copies-of-answers": Play(troubles=(_copies(0.3, only="answers"), MORE_SHED)),
    "copies-of-refusals": Play(troubles=(_copies(0.3, only="refusals"), MORE_SHED)),
    "copies-of-every-refusal": Play(troubles=(_copies(1.0, only="refusals"), MORE_SHED)),
    "copies-named-or-not": Play(
        troubles=(
            _copies(0.3, only="refusals"),
            _copies(0.2, K.COPY_SOON, only="refusals"),
            _copies(0.2, K.COPY_UNNAMED, only="refusals"),
            MORE_SHED,
        )
    ),
    "copies-all-ways": Play(
        troubles=(_copies(0.2), _copies(0.2, K.COPY_SOON), _copies(0.2, K.COPY_UNNAMED), MORE_SHED)
    ),
    "busy": Play(troubles=(_fails(503, 0.3),)),
    "fails-429": Play(troubles=(_fails(429, 0.3),)),
    "fails-408": Play(troubles=(_fails(408, 0.3),)),
    # Beyond the pages, by which a 421 always says that the request has not run.
    "fails-421": Play(troubles=(_fails(421, 0.3),)),
    "fails-500": Play(troubles=(_fails(500, 0.3),)),
    # Bytes that are no answer, and answers that break off.
    "site-junk": Play(
        troubles=(
            RunnerTrouble(kind=K.JUNK_SOON, share=0.02, of_runners=0.35),
            RunnerTrouble(kind=K.JUNK_LATE, share=0.03, of_runners=0.6),
        )
    ),
    "junk-late": Play(troubles=(_always(K.JUNK_LATE, 0.3), MORE_SHED)),
    "junk-soon": Play(troubles=(_always(K.JUNK_SOON, 0.3), MORE_SHED)),
    "junk-instead": Play(troubles=(_always(K.JUNK_INSTEAD, 0.3), MORE_SHED)),
    "broken-off": Play(troubles=(_always(K.BREAK_OFF, 0.3), MORE_SHED)),
    "junk-all-ways": Play(
        troubles=(*(_always(kind, 0.1) for kind in SPOILING), _copies(0.2), MORE_SHED)
    ),
    "paths-cut-junk": Play(
        troubles=(PATHS_CUT, *(_always(kind, 0.1) for kind in SPOILING), MORE_SHED),
        over_paths=True,
    ),
    "reset": Play(troubles=(RunnerTrouble(kind=K.RESET, share=0.3), MORE_SHED)),
    "lost": Play(troubles=(RunnerTrouble(kind=K.LOSE, share=0.3), MORE_SHED)),
    "mute": Play(troubles=(RunnerTrouble(kind=K.MUTE, share=0.3), MORE_SHED)),
    "slow": Play(troubles=(RunnerTrouble(kind=K.SLOW, share=1.0), MORE_SHED)),
    "slow-load": Play(troubles=(RunnerTrouble(kind=K.SLOW, share=1.0),), load=2.5),
    "silent-runners": Play(acts=(_every(3.0, 5.0, _pause_runners),), load=1.5),
    "runners-again": Play(acts=(_every(3.0, 4.0, _restart_runner(same_id=True)),)),
    "runners-new": Play(acts=(_every(3.0, 4.0, _restart_runner(same_id=False)),)),
    "vms-paused": Play(acts=(_every(2.0, 3.0, _pause_vms),)),
    "vms-killed": Play(acts=(_every(2.0, 5.0, _end_vms(signal.SIGKILL)),)),
    "vms-stopped": Play(acts=(_every(2.0, 5.0, _end_vms(signal.SIGTERM)),)),
    "vms-reloaded": Play(acts=(_every(2.0, 3.0, _reload_vms),)),
    "store-away": Play(acts=(_every(2.0, 9.0, _store_away),)),
    "paths-cut": Play(troubles=(RunnerTrouble(kind=K.CUT, share=0.4, for_s=3.0),), over_paths=True),
    "paths-cut-shed": Play(
        troubles=(RunnerTrouble(kind=K.CUT, share=0.4, for_s=3.0), MORE_SHED), over_paths=True
    ),
    "paths-cut-copies": Play(
        troubles=(PATHS_CUT, MORE_SHED, _copies(0.3, only="refusals")), over_paths=True
    ),
    "paths-cut-copies-soon": Play(
        troubles=(PATHS_CUT, MORE_SHED, _copies(0.3, K.COPY_SOON)), over_paths=True
    ),
    "paths-cut-busy": Play(troubles=(PATHS_CUT, _fails(503, 0.3)), over_paths=True),
    "clients-leave": Play(troubles=(MORE_SHED,), habits=Habits(leaving=0.4)),
    "clients-leave-copies": Play(
        troubles=(MORE_SHED, _copies(0.3, only="refusals")), habits=Habits(leaving=0.4)
    ),
    "clients-halt": Play(troubles=(MORE_SHED,), habits=Habits(halting=0.4)),
    "stopped-load": Play(acts=(_every(2.0, 4.0, _end_vms(signal.SIGTERM)),), load=2.5),
    "silent-load": Play(
        troubles=(MORE_SHED,),
        acts=(_every(2.0, 4.0, _pause_runners), _every(3.0, 3.0, _pause_vms)),
        load=2.5,
    ),
    "all-but-copies": Play(
        troubles=(
            MORE_SHED,
            RunnerTrouble(kind=K.CUT, share=0.3, for_s=2.0),
            RunnerTrouble(kind=K.RESET, share=0.05),
            RunnerTrouble(kind=K.SLOW, share=1.0, of_runners=0.25),
        ),
        acts=(
            _every(3.0, 6.0, _pause_runners),
            _every(2.0, 4.0, _pause_vms),
            _every(5.0, 8.0, _restart_runner(same_id=False)),
            _every(6.0, 11.0, _end_vms(signal.SIGTERM)),
            _every(4.0, 12.0, _store_away),
        ),
        over_paths=True,
    ),
}
PLAYS["all"] = attrs.evolve(
    PLAYS["all-but-copies"],
    troubles=(*PLAYS["all-but-copies"].troubles, _copies(0.1), _fails(503, 0.1)),
)


def run_play(
    play: Play,
    folder: Path,
    *,
    seed: int,
    seconds: float,
    vms: int,
    code: Path = OWN_CODE,
    fewest: int = 0,
) -> Verdict:
    """Run a play with processes of its own, and return the verdict on it.

    It goes on for a while until there were ``fewest`` copies, junk and failures.
    """
    return trio.run(_run, play, folder, seed, seconds, vms, code, fewest)


async def _run(
    play: Play, folder: Path, seed: int, seconds: float, vms: int, code: Path, fewest: int
) -> Verdict:
    async with trio.open_nursery() as nursery:
        site = RefusedBidsSite(
            folder=folder,
            nursery=nursery,
            seed=seed,
            code=code,
            over_paths=play.over_paths,
            per_s=REQUESTS_PER_S * play.load,
            habits=play.habits,
        )

        over = trio.Event()

        async def watch(site: RefusedBidsSite) -> None:
            await trio.sleep(seconds)
            with trio.move_on_after(MOST_MORE_S):
                while True:
                    if count_troubles(folder) >= fewest:
                        break
                    await trio.sleep(1.0)
            over.set()

        try:
            troubles = [play.of_runner(number, seconds + MOST_MORE_S) for number in range(RUNNERS)]
            await site.start(vms=vms, troubles=troubles)
            await site.play(over.is_set, (watch, *play.acts))
        finally:
            site.end()
        nursery.cancel_scope.cancel()
    return judge(site.requests, folder)


def main() -> int:
    """Run the plays that the command line names, and print a line of each and its cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("plays", nargs="+", choices=sorted(PLAYS), metavar="PLAY")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--vms", type=int, default=12)
    parser.add_argument("--code", type=Path, default=OWN_CODE, help="root of the gateways' code")
    parser.add_argument("--logs", type=Path, help="new folder for books and logs")
    parser.add_argument("--show", type=int, default=3, help="cases that are printed of each play")
    given = parser.parse_args()
    found = 0
    for name in given.plays:
        with tempfile.TemporaryDirectory() as temporary:
            folder = given.logs / name if given.logs else Path(temporary)
            folder.mkdir(parents=True, exist_ok=not given.logs)
            verdict = run_play(
                PLAYS[name],
                folder,
                seed=given.seed,
                seconds=given.seconds,
                vms=given.vms,
                code=given.code,
            )
        found += len(verdict.cases)
        print(
            f"{name}: requests {verdict.requests}, bids {verdict.bids}, answers {verdict.statuses},"
            f" refused by runners {verdict.refusals}, copies {verdict.copies}, junk {verdict.junk},"
            f" failed {verdict.failures}, lost {verdict.losses}, CASES {len(verdict.cases)}"
            f" {dict(verdict.forms)}",
            flush=True,
        )
        for case in verdict.cases[: given.show]:
            print(f"    {case}", flush=True)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
