"""Records what a VM does with generations and at its stop, where settings want a history."""

from __future__ import annotations

from collections.abc import Callable

from lagoonlever.decisions.streams.generation_messages import Dispatch, GenerationSpec
from lagoonlever.decisions.targets.targets import Target
from lagoonlever.history.events_settings import SettingsWorkTaken
from lagoonlever.history.events_vms import AttemptDispatched, VmStopBegan, VmStopEnded
from lagoonlever.history.recorder import Recorder

DispatchObserver = Callable[[GenerationSpec, Dispatch, Target], None]


def dispatch_recorder(
    recorder: Recorder | None, *, vm: str, settings_version: Callable[[], int]
) -> DispatchObserver:
    """Give what records each dispatch, and the settings it is made under, before its write."""
    if recorder is None:
        return lambda *_: None

    def record(spec: GenerationSpec, dispatch: Dispatch, target: Target) -> None:
        recorder.record(
            AttemptDispatched(
                at=recorder.now,
                process=recorder.process,
                request=spec.request_id,
                generation=dispatch.generation,
                attempt=dispatch.attempt,
                target=target.name,
                seed=dispatch.seed,
                model_version=dispatch.model_version,
                prefix_tokens=len(dispatch.prefix),
                hedge=dispatch.hedge,
            )
        )
        if dispatch.resume or not settings_version():
            return
        recorder.record(
            SettingsWorkTaken(
                at=recorder.now,
                process=recorder.process,
                vm=vm,
                version=settings_version(),
            )
        )

    return record


def record_stop_began(recorder: Recorder | None, *, vm: str, address: str) -> None:
    """Record that the planned stop of a VM at a callers' address begins."""
    if recorder is not None:
        recorder.record(
            VmStopBegan(at=recorder.now, process=recorder.process, vm=vm, address=address)
        )


def record_stop_ended(recorder: Recorder | None, *, vm: str, open_requests: int) -> None:
    """Record that a planned stop ends, with the requests that it still holds."""
    if recorder is not None:
        recorder.record(
            VmStopEnded(
                at=recorder.now, process=recorder.process, vm=vm, open_requests=open_requests
            )
        )
