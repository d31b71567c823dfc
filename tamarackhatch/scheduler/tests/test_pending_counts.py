"""Numbers of waiting jobs that instances answer with, over takeovers."""

import asyncio
import collections
from collections.abc import Callable
import typing

import attrs
import pytest

from standins import fleet as standin_fleet
from standins import virtual_instance
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import records

_STEP = model.Step(1, model.Resources(1000, 100))
_SUBMISSION_INTERVAL_S = 0.1
_ASK_INTERVAL_S = 0.1
# The platform's bound: jobs that were accepted this long before count.
_VISIBLE_S = 5.0
# An instance is in touch with the platform after this time.
_CONTACT_S = 4.0


@attrs.define
class _Watch:
    """Submits jobs that never start, and asks all instances how many wait.

    Attributes:
        fleet: The deployment.
        accepted_s: Times at which jobs were accepted, in ascending order.
        low: Answers under half of the jobs that have waited long enough, with
            their times and that number.
        answers: Number of answers by whether they hold a number.
    """

    fleet: standin_fleet.VirtualFleet
    accepted_s: list[float] = attrs.field(factory=list)
    low: list[tuple[float, int, int]] = attrs.field(factory=list)
    answers: collections.Counter[bool] = attrs.field(
        factory=collections.Counter
    )
    _started_s: dict[str, float] = attrs.field(factory=dict)

    async def submit_continually(self) -> None:
        """Submits a job ten times a second to an instance that lives."""
        number = 0
        while True:
            if self.fleet.instances:
                number += 1
                outcome = await self.fleet.submit(f"{number:016x}", _STEP)
                if outcome is model.Outcome.DONE:
                    self.accepted_s.append(_get_time_s())
            await asyncio.sleep(_SUBMISSION_INTERVAL_S)

    async def ask_continually(self) -> None:
        """Asks each instance that is in touch, ten times a second."""
        while True:
            for name, instance in list(self.fleet.instances.items()):
                since_s = self._started_s.setdefault(name, _get_time_s())
                if _get_time_s() - since_s >= _CONTACT_S:
                    await self._ask(instance)
            await asyncio.sleep(_ASK_INTERVAL_S)

    async def _ask(self, instance: virtual_instance.VirtualInstance) -> None:
        asked_s = _get_time_s()
        count = await instance.service.count_pending(standin_fleet.QUEUE)
        self.answers[count is not None] += 1
        waiting = sum(
            time_s <= asked_s - _VISIBLE_S for time_s in self.accepted_s
        )
        if count is not None and 2 * count < waiting:
            self.low.append((asked_s, count, waiting))


def _get_time_s() -> float:
    return asyncio.get_running_loop().time()


def _kill_leader(fleet: standin_fleet.VirtualFleet) -> None:
    leader = fleet.get_leader()
    assert leader is not None
    leader.kill()
    del fleet.instances[leader.name]


async def _kill_each_as_elected(fleet: standin_fleet.VirtualFleet) -> None:
    for _ in range(4):
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        _kill_leader(fleet)


async def _kill_in_series(fleet: standin_fleet.VirtualFleet) -> None:
    for _ in range(4):
        _kill_leader(fleet)
        await asyncio.sleep(2.9)


async def _cut_job_feed(fleet: standin_fleet.VirtualFleet) -> None:
    """Silences the scheduler's feed of the jobs; its heartbeats go on."""
    leader = fleet.get_leader()
    assert leader is not None
    faults = fleet.network.get_faults(standin_fleet.STORE_ADDRESS)
    faults.lost_feeds.add((leader.name, records.JOBS_TABLE))
    await asyncio.sleep(8)


async def _restart_all_after_a_pause(
    fleet: standin_fleet.VirtualFleet,
) -> None:
    """Ends all processes, and elects two schedulers that end at once."""
    names = list(fleet.instances)
    for instance in fleet.instances.values():
        instance.kill()
    fleet.instances.clear()
    await asyncio.sleep(6)
    for name in names:
        fleet.start_instance(name)
    await _kill_each_as_elected(fleet)


@pytest.mark.parametrize(
    "disturb",
    [
        pytest.param(_kill_each_as_elected, id="killed-as-elected"),
        pytest.param(_kill_in_series, id="killed-in-series"),
        pytest.param(_cut_job_feed, id="silent-feed-of-jobs"),
        pytest.param(_restart_all_after_a_pause, id="all-restarted"),
    ],
)
def test_number_of_waiting_jobs_is_not_older_than_it_seems(
    disturb: Callable[[standin_fleet.VirtualFleet], typing.Awaitable[None]],
) -> None:
    """Guards against a number that is passed on without its moment."""

    async def simulate() -> None:
        fleet = standin_fleet.VirtualFleet(runners=0)
        for index in range(6):
            fleet.start_instance(f"i{index}")
        await fleet.wait_until(lambda: fleet.get_leader() is not None)
        watch = _Watch(fleet)
        watching = [asyncio.create_task(watch.ask_continually())]
        await asyncio.sleep(_CONTACT_S + 1)
        watching.append(asyncio.create_task(watch.submit_continually()))
        await asyncio.sleep(0.7)
        await disturb(fleet)
        await asyncio.sleep(_VISIBLE_S)
        for task in watching:
            task.cancel()
        assert watch.low == []
        # Callers are to get numbers, not only honest refusals.
        assert watch.answers[True] > 9 * watch.answers[False]

    virtual_time.run_virtually(simulate())
