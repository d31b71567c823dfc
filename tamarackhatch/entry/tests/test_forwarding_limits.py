"""Tests the order and the limits of forwarded requests."""

import asyncio
import datetime

import pytest

from tamarackhatch.entry.tests import fleet as entry_fleet
from tamarackhatch.entry.tests import forwarding_trial
from tamarackhatch import model


def test_near_instances_are_asked_first() -> None:
    """Guards against traffic between data centres without need."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        counts = {
            name: forwarding_trial.count_calls(fleet, name) for name in "bcd"
        }
        fleet.cut_off("503", "a")
        for index in range(10):
            await fleet.submit("a", f"{index:016}")
        assert sum(counts["b"].values()) == 10
        assert counts["c"] == counts["d"] == {}

    forwarding_trial.run(
        scenario, *forwarding_trial.PAIR, "north-b/c", "south-a/d"
    )


def test_all_instances_cut_off_bounds_the_calls() -> None:
    """Guards against a storm of messages while the store serves nobody."""
    names = [f"north-a/{index}" for index in range(12)]

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        counts = [
            forwarding_trial.count_calls(fleet, name)
            for name in fleet.instances
        ]
        fleet.cut_off("503", *fleet.instances)
        async with asyncio.TaskGroup() as group:
            for index in range(200):
                group.create_task(
                    fleet.submit(f"{index % 12}", f"{index:016}")
                )
                await asyncio.sleep(0.02)
        calls = sum(sum(count.values()) for count in counts)
        assert calls <= 3 * 200

    forwarding_trial.run(scenario, *names)


@pytest.mark.parametrize("fault", forwarding_trial.FAULTS)
def test_no_job_is_lost_in_an_outage_for_all_instances(fault: str) -> None:
    """Guards against callers that use up their retries within an outage.

    The store serves nobody for 4.2 s. Callers retry at most four times, at
    once and at other instances.
    """
    names = [f"north-a/{index}" for index in range(6)]

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        outcomes: list[model.Outcome] = []

        async def call(index: int) -> None:
            for attempt in range(5):
                answer = await fleet.submit(
                    f"{(index + attempt) % 6}", f"{index:016}"
                )
                if answer.outcome is model.Outcome.DONE:
                    break
            outcomes.append(answer.outcome)

        async with asyncio.TaskGroup() as group:
            fleet.cut_off(fault, *fleet.instances)
            for index in range(84):
                group.create_task(call(index))
                await asyncio.sleep(0.05)
            fleet.reconnect()
        assert outcomes == [model.Outcome.DONE] * 84

    forwarding_trial.run(scenario, *names)


def test_short_time_of_a_caller_is_kept() -> None:
    """Guards against an answer after the caller has stopped waiting."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        fleet.cut_off("silence", "a")
        fleet.get_faults("b").unreachable_from.add("a")
        for timeout_ms in (100, 300, 700, 3000):
            timeout = datetime.timedelta(milliseconds=timeout_ms)
            answer = await fleet.submit("a", forwarding_trial.JOB, timeout)
            assert answer.outcome is model.Outcome.UNKNOWN
            assert answer.duration_s <= timeout_ms / 1000

    forwarding_trial.run(scenario)


def test_next_neighbour_is_not_asked_before_0_4_s() -> None:
    """Guards against load on a second instance while the first one works."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        counts = {
            name: forwarding_trial.count_calls(fleet, name) for name in "bc"
        }
        fleet.cut_off("503", "a")
        for name in "bc":
            fleet.get_faults(name).delay_s = 0.17
        answer = await fleet.submit("a", forwarding_trial.JOB)
        assert answer.outcome is model.Outcome.DONE
        assert sum(sum(count.values()) for count in counts.values()) == 1

    forwarding_trial.run(scenario, *forwarding_trial.PAIR, "north-a/c")


def test_calls_of_a_sender_are_limited() -> None:
    """Guards against one sender that keeps its neighbours busy."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        counts = forwarding_trial.count_calls(fleet, "b")
        fleet.cut_off("503", "a")
        await fleet.submit("a", forwarding_trial.JOB)
        async with asyncio.TaskGroup() as group:
            for index in range(400):
                group.create_task(fleet.submit("a", f"{index:016}"))
                await asyncio.sleep(0.0025)
        # 60 at once and 30 a second, for two seconds at most.
        assert 60 <= sum(counts.values()) <= 120

    forwarding_trial.run(scenario)


@pytest.mark.parametrize(
    ("neighbour", "all_pass"), [("c", False), ("b", True)]
)
def test_bytes_to_other_data_centres_are_limited(
    neighbour: str, all_pass: bool
) -> None:
    """Guards against jobs that fill the link between two data centres."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        others = {"b", "c"} - {neighbour}
        for name in others:
            fleet.network.remove(fleet.instances[name].address)
        fleet.cut_off("503", "a")
        outcomes = []
        for index in range(20):
            outcomes.append(
                (await fleet.submit("a", f"{index:016}", size=40_000)).outcome
            )
        accepted = outcomes.count(model.Outcome.DONE)
        # 512 KiB at once, and 128 KiB a second while requests fail.
        assert accepted == 20 if all_pass else 12 <= accepted < 20

    forwarding_trial.run(scenario, *forwarding_trial.PAIR, "north-b/c")
