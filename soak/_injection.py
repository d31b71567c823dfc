"""Carries out faults on a deployment."""

import asyncio
import base64
from collections.abc import AsyncIterator
import contextlib
import functools
import signal

from soak import _deployment
from soak import _faults
from soak import _timeline

# Time after which connections and feeds work again behind a disturbance.
_STORE_RECOVERY_S = 1.0
_RUNNER_RECOVERY_S = 3.0
_EMPTY_ROW = base64.b64encode(b"{}").decode()
_Target = _deployment.Deployment
_Context = AsyncIterator[None]


async def inject(item: _faults.PlannedFault, target: _Target) -> None:
    """Injects a fault, and lifts it after its duration."""
    async with _apply(item.fault, target):
        await asyncio.sleep(item.duration.total_seconds())


@functools.singledispatch
@contextlib.asynccontextmanager
async def _apply(fault: _faults.Fault, target: _Target) -> _Context:
    """Applies a fault while the context lasts."""
    if isinstance(fault, _faults.Burst):
        for _ in range(fault.jobs):
            target.callers.submit()
    else:
        target.publish_configuration()
    yield


@_apply.register
@contextlib.asynccontextmanager
async def _(fault: _faults.ProcessFault, target: _Target) -> _Context:
    name = target.find_instance(fault.instance)
    if name is None:
        yield
    elif fault.signal is signal.SIGSTOP:
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


@_apply.register
@contextlib.asynccontextmanager
async def _(fault: _faults.StoreFault, target: _Target) -> _Context:
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


@_apply.register
@contextlib.asynccontextmanager
async def _(fault: _faults.InstanceStoreFault, target: _Target) -> _Context:
    name = target.find_instance(fault.instance)
    if name is None:
        yield
        return
    with target.timeline.disturb(_timeline.CONTROL, _STORE_RECOVERY_S):
        target.store_faults[name] = fault.kind
        yield
        target.store_faults.pop(name, None)


@_apply.register
@contextlib.asynccontextmanager
async def _(fault: _faults.StoreLinkFault, target: _Target) -> _Context:
    name = target.find_instance(fault.instance)
    if name is None:
        yield
        return
    with target.timeline.disturb(_timeline.CONTROL, _STORE_RECOVERY_S):
        with target.store_links[name].disturb(fault.kind):
            yield


@_apply.register
@contextlib.asynccontextmanager
async def _(fault: _faults.RunnerLinkFault, target: _Target) -> _Context:
    name = target.fleet.runners[fault.runner].identifier
    with target.timeline.disturb(name, _RUNNER_RECOVERY_S):
        with target.runner_links[fault.runner].disturb(fault.kind):
            yield


@_apply.register
@contextlib.asynccontextmanager
async def _(fault: _faults.RunnerFault, target: _Target) -> _Context:
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


@_apply.register
@contextlib.asynccontextmanager
async def _(fault: _faults.Evacuation, target: _Target) -> _Context:
    key = f"evacuate/{fault.data_centre}"
    everywhere, name = target.fleet.runners, fault.data_centre
    runners = [it.identifier for it in everywhere if it.data_centre == name]
    target.fleet.store.put("op", key, _EMPTY_ROW)
    with target.checks.expect_no_starts("EVACUATED", *runners):
        yield
    target.fleet.store.remove("op", key)
