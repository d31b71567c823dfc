"""Carries out faults on a deployment."""

import asyncio
import base64
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import functools
import signal

from soak import _deployment
from soak import _faults
from soak import _runner_link
from soak import _timeline

# Time after which connections and feeds work again behind a disturbance.
_STORE_RECOVERY_S = 1.0
_RUNNER_RECOVERY_S = 3.0
# A starved process runs for this share of each period.
_STARVED_SHARE = 0.2
_STARVATION_PERIOD_S = 0.5
_EMPTY_ROW = base64.b64encode(b"{}").decode()
_Target = _deployment.Deployment
_Context = AsyncIterator[None]


async def inject(item: _faults.PlannedFault, target: _Target) -> None:
    """Injects a fault, and lifts it after its duration.

    A fault of an instance that has no process is left out.
    """
    name = target.find_instance(getattr(item.fault, "instance", None))
    if name is None:
        return
    async with _apply(item.fault, target, name):
        await asyncio.sleep(item.duration.total_seconds())


@functools.singledispatch
@contextlib.asynccontextmanager
async def _apply(fault: _faults.Fault, target: _Target, name: str) -> _Context:
    """Applies a fault while the context lasts; ``name`` is its instance's."""
    if isinstance(fault, _faults.Burst):
        for _ in range(fault.jobs):
            target.callers.submit()
    else:
        target.publish_configuration()
    yield


def _register(function: Callable[..., _Context]) -> None:
    _apply.register(contextlib.asynccontextmanager(function))


@_register
async def _(
    fault: _faults.ProcessFault, target: _Target, name: str
) -> _Context:
    if fault.signal is signal.SIGSTOP:
        process = target.fleet.processes[name]
        with target.timeline.disturb(name):
            process.send_signal(signal.SIGSTOP)
            yield
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
    else:
        await target.end_instance(name, fault.signal)
        yield
        target.restart_instance(name)


@_register
async def _(fault: _faults.StoreFault, target: _Target, name: str) -> _Context:
    store, kind = target.fleet.store, _faults.StoreKind
    with target.timeline.disturb(_timeline.CONTROL, _STORE_RECOVERY_S):
        if fault.kind is kind.HISTORY_LOST:
            store.discard_history()
            yield
        elif fault.kind is kind.DOWN:
            store.is_down = True
            yield
            store.is_down = False
        elif fault.kind is kind.SILENT:
            store.is_unresponsive = True
            yield
            store.is_unresponsive = False
        else:
            store.slow_down(20 if fault.kind is kind.SLOW else 76)
            yield
            store.slow_down(1)


@_register
async def _(
    fault: _faults.InstanceStoreFault, target: _Target, name: str
) -> _Context:
    with target.timeline.disturb(_timeline.CONTROL, _STORE_RECOVERY_S):
        target.store_faults[name] = fault.kind
        yield
        target.store_faults.pop(name, None)


@_register
async def _(
    fault: _faults.StoreLinkFault, target: _Target, name: str
) -> _Context:
    with target.timeline.disturb(_timeline.CONTROL, _STORE_RECOVERY_S):
        with target.store_links[name].disturb(fault.kind):
            yield


@_register
async def _(
    fault: _faults.RunnerLinkFault, target: _Target, name: str
) -> _Context:
    identifier = target.fleet.runners[fault.runner].identifier
    with target.timeline.disturb(identifier, _RUNNER_RECOVERY_S):
        with target.runner_links[fault.runner].disturb(fault.kind):
            yield


@_register
async def _(
    fault: _faults.RunnerFault, target: _Target, name: str
) -> _Context:
    store, kind = target.fleet.store, _faults.RunnerKind
    runner = target.fleet.runners[fault.runner]
    if fault.kind is kind.FAILS:
        target.failing_runners.add(fault.runner)
        yield
        target.failing_runners.discard(fault.runner)
    elif fault.kind is kind.RESTARTS:
        runner.crash()
        link = target.runner_links[fault.runner]
        with link.disturb(_faults.LinkKind.RESET):
            yield
    elif fault.kind is kind.DRAINS:
        runner.state = "draining"
        runner.register(store)
        with target.checks.expect_no_starts("DRAINING", runner.identifier):
            yield
        runner.state = "ready"
        runner.register(store)
    else:
        runner.speed = 0.0 if fault.kind is kind.HANGS else 0.3
        yield
        runner.speed = 1.0


@_register
async def _(
    fault: _faults.RunnerPause, target: _Target, name: str
) -> _Context:
    process = target.runner_processes[fault.runner]
    identifier = target.fleet.runners[fault.runner].identifier
    with target.timeline.disturb(identifier, _RUNNER_RECOVERY_S):
        if fault.kind is _faults.PauseKind.STOPPED:
            process.send_signal(signal.SIGSTOP)
            yield
        else:
            starvation = asyncio.create_task(_starve(process))
            yield
            starvation.cancel()
        process.send_signal(signal.SIGCONT)


async def _starve(process: _runner_link.RunnerProcess) -> None:
    """Stops and continues a process until cancelled."""
    while True:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_STARVATION_PERIOD_S * (1 - _STARVED_SHARE))
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(_STARVATION_PERIOD_S * _STARVED_SHARE)


@_register
async def _(fault: _faults.Evacuation, target: _Target, name: str) -> _Context:
    key = f"evacuate/{fault.data_centre}"
    runners = [
        item.identifier
        for item in target.fleet.runners
        if item.data_centre == fault.data_centre
    ]
    target.fleet.store.put("op", key, _EMPTY_ROW)
    with target.checks.expect_no_starts("EVACUATED", *runners):
        yield
    target.fleet.store.remove("op", key)
