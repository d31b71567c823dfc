"""Carries out faults on a deployment."""

import asyncio
import base64
import contextlib
import functools
import signal

from soak import _deployment
from soak import _faults
from soak import _proxy
from soak import _timeline

# Time after which connections and feeds work again behind a disturbance.
_STORE_RECOVERY_S = 1.0
_RUNNER_RECOVERY_S = 3.0
_EMPTY_ROW = base64.b64encode(b"{}").decode()
_Deployment = _deployment.Deployment


@functools.singledispatch
async def inject(
    fault: _faults.Fault, target: _Deployment, duration_s: float
) -> None:
    """Injects a fault, and lifts it after its duration.

    Args:
        fault: The fault.
        target: The deployment.
        duration_s: Seconds until the fault is lifted.
    """
    raise TypeError(f"no injection of {fault}")


@inject.register
async def _(
    fault: _faults.StopProcess, target: _Deployment, duration_s: float
) -> None:
    name = target.find_instance(fault.instance)
    if name is not None:
        await target.stop_instance(name)
        await asyncio.sleep(duration_s)
        await _restart(target, name)


@inject.register
async def _(
    fault: _faults.KillProcess, target: _Deployment, duration_s: float
) -> None:
    name = target.find_instance(fault.instance)
    if name is not None:
        await target.kill_instance(name)
        await asyncio.sleep(duration_s)
        await _restart(target, name)


async def _restart(target: _Deployment, name: str) -> None:
    """Starts an instance, unless another fault has done so."""
    if name not in target.fleet.processes:
        await target.start_instance(name)


@inject.register
async def _(
    fault: _faults.PauseProcess, target: _Deployment, duration_s: float
) -> None:
    name = target.find_instance(fault.instance)
    if name is None:
        return
    process = target.fleet.processes[name]
    with target.timeline.disturb(name):
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(duration_s)
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)


@inject.register
async def _(
    fault: _faults.StoreUnavailable, target: _Deployment, duration_s: float
) -> None:
    target.fleet.store.is_down = True
    with _disturb_store(target):
        try:
            await asyncio.sleep(duration_s)
        finally:
            target.fleet.store.is_down = False


@inject.register
async def _(
    fault: _faults.StoreSilent, target: _Deployment, duration_s: float
) -> None:
    target.fleet.store.is_unresponsive = True
    with _disturb_store(target):
        try:
            await asyncio.sleep(duration_s)
        finally:
            target.fleet.store.is_unresponsive = False


@inject.register
async def _(
    fault: _faults.StoreSlow, target: _Deployment, duration_s: float
) -> None:
    target.fleet.store.slow_down(fault.factor)
    with _disturb_store(target):
        try:
            await asyncio.sleep(duration_s)
        finally:
            target.fleet.store.slow_down(1.0)


@inject.register
async def _(
    fault: _faults.StoreHistoryLost, target: _Deployment, duration_s: float
) -> None:
    target.fleet.store.discard_history()


@inject.register
async def _(
    fault: _faults.StoreRefusesInstance,
    target: _Deployment,
    duration_s: float,
) -> None:
    name = target.find_instance(fault.instance)
    if name is not None:
        target.fronts[name].status = fault.status
        with _disturb_store(target):
            try:
                await asyncio.sleep(duration_s)
            finally:
                target.fronts[name].status = 0


@inject.register
async def _(
    fault: _faults.StoreAnswersLost, target: _Deployment, duration_s: float
) -> None:
    name = target.find_instance(fault.instance)
    if name is not None:
        target.fronts[name].loses_answers = True
        with _disturb_store(target):
            try:
                await asyncio.sleep(duration_s)
            finally:
                target.fronts[name].loses_answers = False


@inject.register
async def _(
    fault: _faults.StoreLinkFault, target: _Deployment, duration_s: float
) -> None:
    name = target.find_instance(fault.instance)
    if name is not None:
        with _disturb_store(target):
            await _disturb_link(
                target.store_links[name], fault.kind, duration_s
            )


@inject.register
async def _(
    fault: _faults.RunnerLinkFault, target: _Deployment, duration_s: float
) -> None:
    name = target.fleet.runners[fault.runner].identifier
    with target.timeline.disturb(name, _RUNNER_RECOVERY_S):
        await _disturb_link(
            target.runner_links[fault.runner], fault.kind, duration_s
        )


@inject.register
async def _(
    fault: _faults.RunnerFailsTasks, target: _Deployment, duration_s: float
) -> None:
    target.failing_runners.add(fault.runner)
    try:
        await asyncio.sleep(duration_s)
    finally:
        target.failing_runners.discard(fault.runner)


@inject.register
async def _(
    fault: _faults.RunnerSlow, target: _Deployment, duration_s: float
) -> None:
    target.fleet.runners[fault.runner].speed = fault.speed
    try:
        await asyncio.sleep(duration_s)
    finally:
        target.fleet.runners[fault.runner].speed = 1.0


@inject.register
async def _(
    fault: _faults.RunnerRestarts, target: _Deployment, duration_s: float
) -> None:
    target.fleet.runners[fault.runner].crash()
    target.runner_links[fault.runner].add_fault(_faults.LinkFault.RESET)


@inject.register
async def _(
    fault: _faults.RunnerDrains, target: _Deployment, duration_s: float
) -> None:
    drained = target.fleet.runners[fault.runner]
    drained.state = "draining"
    drained.register(target.fleet.store)
    withdraw = target.checks.record_order(
        False, frozenset({drained.identifier})
    )
    await asyncio.sleep(duration_s)
    withdraw()
    drained.state = "ready"
    drained.register(target.fleet.store)


@inject.register
async def _(
    fault: _faults.Evacuation, target: _Deployment, duration_s: float
) -> None:
    key = f"evacuate/{fault.data_centre}"
    target.fleet.store.put("op", key, _EMPTY_ROW)
    withdraw = target.checks.record_order(
        True,
        frozenset(
            item.identifier
            for item in target.fleet.runners
            if item.data_centre == fault.data_centre
        ),
    )
    await asyncio.sleep(duration_s)
    withdraw()
    target.fleet.store.remove("op", key)


@inject.register
async def _(
    fault: _faults.ConfigurationChange,
    target: _Deployment,
    duration_s: float,
) -> None:
    target.publish_configuration()


@inject.register
async def _(
    fault: _faults.Burst, target: _Deployment, duration_s: float
) -> None:
    for _ in range(fault.jobs):
        target.callers.submit()


def _disturb_store(
    target: _Deployment,
) -> contextlib.AbstractContextManager[None]:
    return target.timeline.disturb(_timeline.CONTROL, _STORE_RECOVERY_S)


async def _disturb_link(
    link: _proxy.Proxy, kind: _faults.LinkFault, duration_s: float
) -> None:
    link.add_fault(kind)
    try:
        await asyncio.sleep(duration_s)
    finally:
        link.remove_fault(kind)
