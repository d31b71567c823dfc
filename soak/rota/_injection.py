"""Carries out the troubles of a play."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import functools
import random
import signal

from soak import _timeline
from soak.rota import _deployment
from soak.rota import _machines
from soak.rota import _troubles

_STORE_RECOVERY_S = 1.0
_RUNNER_RECOVERY_S = 3.0
_INSTANCE_RECOVERY_S = 2.5
_PAUSE_PERIOD_S = 0.5
# Shortest time from the report that a runner drains until it leaves.
_DRAIN_S = 2.5
_RESTART_DELAYS_S = (0.1, 4.5)
_Target = _deployment.RotaDeployment


async def inject(item: _troubles.PlannedTrouble, target: _Target) -> None:
    """Carries out a trouble, and lifts it after its duration."""
    await _play(item.fault, target, item.duration.total_seconds())


@functools.singledispatch
async def _play(
    trouble: _troubles.Trouble, target: _Target, seconds: float
) -> None:
    """Carries out a trouble that lasts for some seconds."""
    raise TypeError(trouble)


@contextlib.contextmanager
def _disturb(
    target: _Target, machines: Iterable[_machines.Machine], text: str
) -> Iterator[None]:
    """Notes that runners are disturbed while the context lasts."""
    with contextlib.ExitStack() as stack:
        for machine in machines:
            name = machine.identifier
            stack.enter_context(target.events.note(name, text))
            recovery_s = _RUNNER_RECOVERY_S
            stack.enter_context(target.timeline.disturb(name, recovery_s))
        yield


def _select(
    target: _Target, indices: tuple[int, ...]
) -> list[_machines.Machine]:
    return [target.machines[index] for index in indices]


def _find(target: _Target, indices: tuple[int, ...]) -> list[str]:
    """Returns the names of those instances that have a process."""
    names = map(target.find_instance, indices)
    return list(dict.fromkeys(name for name in names if name))


@_play.register
async def _(
    trouble: _troubles.RunnerCut, target: _Target, seconds: float
) -> None:
    machines = _select(target, trouble.machines)
    way = _troubles.Way
    text = f"cut off ({trouble.way.name})"
    if trouble.is_cut_from_store:
        text += " and from the store"
    source = random.Random(f"{trouble} {seconds}")
    with _disturb(target, machines, text):
        for machine in machines:
            machine.cut(
                trouble.way is not way.ANSWERS, trouble.way is not way.REQUESTS
            )
            machine.is_cut_from_store = trouble.is_cut_from_store
        restarts: list[asyncio.Task[None]] = []
        if trouble.restarts:
            for machine in machines:
                down_s = source.uniform(*_RESTART_DELAYS_S)
                before_s = source.uniform(0, max(0.0, seconds - down_s))
                restart = _restart(target, machine, before_s, down_s, True)
                restarts.append(asyncio.create_task(restart))
        await asyncio.sleep(seconds)
        for machine in machines:
            machine.reconnect()
            machine.is_cut_from_store = False
        await asyncio.gather(*restarts)


async def _restart(
    target: _Target,
    machine: _machines.Machine,
    before_s: float,
    down_s: float,
    is_dark: bool,
) -> None:
    await asyncio.sleep(before_s)
    async with machine.changes:
        with _disturb(target, [machine], "killed, and starts again"):
            await machine.kill(is_dark)
            await asyncio.sleep(down_s)
            await machine.start()


@_play.register
async def _(
    trouble: _troubles.RunnerRestart, target: _Target, seconds: float
) -> None:
    source = random.Random(f"{trouble} {seconds}")
    async with asyncio.TaskGroup() as group:
        for machine in _select(target, trouble.machines):
            down_s = seconds * source.uniform(0.5, 1)
            restart = _restart(target, machine, 0, down_s, trouble.is_dark)
            group.create_task(restart)


@_play.register
async def _(
    trouble: _troubles.RunnerReplacement, target: _Target, seconds: float
) -> None:
    machine = target.machines[trouble.machine]
    async with machine.changes:
        with _disturb(target, [machine], "replaced"):
            if trouble.drains:
                await _drain(target, machine, max(_DRAIN_S, seconds))
            else:
                await machine.kill(is_dark=True)
                await asyncio.sleep(seconds)
            machine.rename()
            await machine.start()


async def _drain(
    target: _Target, machine: _machines.Machine, seconds: float
) -> None:
    machine.drain()
    with target.checks.expect_no_starts("DRAINING", machine.identifier):
        await asyncio.sleep(seconds)
        await machine.kill(is_dark=False)
    target.forget(machine.identifier)


@_play.register
async def _(
    trouble: _troubles.RunnerPause, target: _Target, seconds: float
) -> None:
    machines = _select(target, trouble.machines)
    text = f"gets {trouble.share} of the time"
    with _disturb(target, machines, text):
        async for is_stopped in _alternate(trouble.share, seconds):
            number = signal.SIGSTOP if is_stopped else signal.SIGCONT
            for machine in machines:
                machine.send_signal(number)


async def _alternate(share: float, seconds: float) -> AsyncIterator[bool]:
    """Yields whether processes are stopped now; at the end they are not."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while (remaining_s := end - loop.time()) > 0:
        yield True
        stopped_s = _PAUSE_PERIOD_S * (1 - share) if share else seconds
        await asyncio.sleep(min(stopped_s, remaining_s))
        yield False
        if share:
            await asyncio.sleep(_PAUSE_PERIOD_S * share)


@_play.register
async def _(
    trouble: _troubles.InstancePause, target: _Target, seconds: float
) -> None:
    names = _find(target, trouble.instances)
    text = f"gets {trouble.share} of the time"
    with contextlib.ExitStack() as stack:
        for name in names:
            stack.enter_context(target.events.note(name, text))
        scope, recovery_s = _timeline.CONTROL, _INSTANCE_RECOVERY_S
        stack.enter_context(target.timeline.disturb(scope, recovery_s))
        async for is_stopped in _alternate(trouble.share, seconds):
            for name in names:
                target.pause(name, is_stopped)


@_play.register
async def _(
    trouble: _troubles.InstanceEnd, target: _Target, seconds: float
) -> None:
    gap_s = trouble.gap.total_seconds()
    scope, recovery_s = _timeline.CONTROL, _INSTANCE_RECOVERY_S
    with target.timeline.disturb(scope, recovery_s):
        async with asyncio.TaskGroup() as group:
            for index in trouble.instances:
                name = target.find_instance(index)
                if name:
                    group.create_task(
                        _end(target, name, trouble.signal, seconds)
                    )
                    await asyncio.sleep(gap_s)


async def _end(
    target: _Target, name: str, number: signal.Signals, seconds: float
) -> None:
    with target.events.note(name, f"ended by {number.name}"):
        await target.end_instance(name, number)
        await asyncio.sleep(seconds)
    target.restart_instance(name)


@_play.register
async def _(
    trouble: _troubles.LateCalls, target: _Target, seconds: float
) -> None:
    with _disturb(target, target.machines, "late calls"):
        for machine in target.machines:
            machine.proxy.disturbances.late_share = trouble.share
        await asyncio.sleep(seconds)
        for machine in target.machines:
            machine.proxy.disturbances.late_share = 0.0


@_play.register
async def _(
    trouble: _troubles.DelayedAnswers, target: _Target, seconds: float
) -> None:
    machines = _select(target, trouble.machines)
    with _disturb(target, machines, "delayed answers"):
        for machine in machines:
            disturbances = machine.proxy.disturbances
            disturbances.delayed_share = trouble.share
            disturbances.answer_delays_s = (0.1, trouble.longest_s)
        await asyncio.sleep(seconds)
        for machine in machines:
            machine.proxy.disturbances.delayed_share = 0.0


@_play.register
async def _(
    trouble: _troubles.StoreTrouble, target: _Target, seconds: float
) -> None:
    store, kind = target.fleet.store, _troubles.StoreKind
    scope, recovery_s = _timeline.CONTROL, _STORE_RECOVERY_S
    with (
        target.events.note("store", trouble.kind.name),
        target.timeline.disturb(scope, recovery_s),
    ):
        target.store_trouble = trouble.kind
        store.is_down = trouble.kind is kind.DOWN
        store.is_unresponsive = trouble.kind is kind.SILENT
        target.refused_instances.update(
            f"entry-{index}" for index in trouble.instances
        )
        if trouble.kind is kind.SLOW:
            store.slow_down(_deployment.SLOW_FACTOR)
        await asyncio.sleep(seconds)
        target.store_trouble = None
        target.refused_instances.clear()
        store.is_down = store.is_unresponsive = False
        if trouble.kind is kind.SLOW:
            store.slow_down(1)


@_play.register
async def _(
    trouble: _troubles.BulkCancellation, target: _Target, seconds: float
) -> None:
    target.callers.cancel_share(trouble.share)


@_play.register
async def _(trouble: _troubles.Burst, target: _Target, seconds: float) -> None:
    # The arrivals were drawn with it.
    await asyncio.sleep(seconds)
