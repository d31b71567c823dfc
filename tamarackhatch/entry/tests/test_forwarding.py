"""Tests requests of callers while the store refuses some instances."""

import asyncio

import orjson
import pytest

from standins import network
from tamarackhatch.entry.tests import fleet as entry_fleet
from tamarackhatch.entry.tests import forwarding_trial
from tamarackhatch import model


@pytest.mark.parametrize("fault", forwarding_trial.FAULTS)
def test_submissions_are_accepted_while_the_store_refuses_an_instance(
    fault: str,
) -> None:
    """Guards against lost jobs beside an instance that reaches the store.

    The first caller waits 0.3 s for the store, the later ones do not.
    """

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        fleet.cut_off(fault, "a")
        first = await fleet.submit("a", forwarding_trial.JOB)
        assert first.outcome is model.Outcome.DONE
        assert first.duration_s < 0.4
        for index in range(90):
            await asyncio.sleep(0.09)
            identifier = f"{index:015}b"
            answer = await fleet.submit("a", identifier)
            assert answer.outcome is model.Outcome.DONE
            if index > 9:
                assert answer.duration_s < 0.1
            assert fleet.read_job(identifier) is not None

    forwarding_trial.run(scenario)


@pytest.mark.parametrize("fault", forwarding_trial.FAULTS)
def test_third_of_the_instances_is_refused_for_9_s(fault: str) -> None:
    """Guards against the loss of jobs that a third of the callers submit."""
    names = [
        f"{region}-{centre}/{region}{centre}{index}"
        for region in ("north", "south")
        for centre in ("a", "b")
        for index in range(3)
    ]

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        all_names = list(fleet.instances)
        fleet.cut_off(fault, *all_names[::3])
        answers: list[entry_fleet.Answer] = []

        async def submit(index: int) -> None:
            name = all_names[index % len(all_names)]
            answers.append(await fleet.submit(name, f"{index:016}"))

        async with asyncio.TaskGroup() as group:
            for index in range(360):
                group.create_task(submit(index))
                await asyncio.sleep(0.025)
        fleet.reconnect()
        outcomes = [answer.outcome for answer in answers]
        assert outcomes.count(model.Outcome.DONE) == 360
        assert max(answer.duration_s for answer in answers) < 1.5

    forwarding_trial.run(scenario, *names)


@pytest.mark.parametrize("fault", forwarding_trial.FAULTS)
def test_instances_without_internal_address_answer_as_before(
    fault: str,
) -> None:
    """Guards against a change for deployments that do not set the address."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        fleet.cut_off(fault, "a")
        answer = await fleet.submit("a", forwarding_trial.JOB)
        assert answer.outcome is model.Outcome.UNKNOWN
        assert 0.4 < answer.duration_s < 1.6
        assert fleet.store.get("instances-0", "a") is None

    forwarding_trial.run(scenario, has_internal_addresses=False)


def test_healthy_store_needs_no_other_instance() -> None:
    """Guards against messages between instances while the store answers."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        counts = forwarding_trial.count_calls(fleet, "b")
        for index in range(50):
            answer = await fleet.submit("a", f"{index:016}")
            assert answer.outcome is model.Outcome.DONE
            await asyncio.sleep(0.1)
        assert counts == {}

    forwarding_trial.run(scenario)


def test_slow_store_gets_no_more_than_twice_the_calls() -> None:
    """Guards against load on a store that is slow for all instances."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        fleet.store.slow_down(76)
        await fleet.submit("a", "00000000000000f0")
        await fleet.submit("b", "00000000000000f1")
        counts = forwarding_trial.count_calls(fleet, "b")
        for index in range(40):
            answer = await fleet.submit("a", f"{index:016}")
            assert answer.outcome is model.Outcome.DONE
        assert sum(counts.values()) <= 4

    forwarding_trial.run(scenario)


def test_two_instances_in_the_same_position_answer_unknown() -> None:
    """Guards against loops, and against an answer that nobody knows."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        counts = {
            name: forwarding_trial.count_calls(fleet, name) for name in "ab"
        }
        fleet.cut_off("silence", "a", "b")
        first, second = await asyncio.gather(
            fleet.submit("a", forwarding_trial.JOB),
            fleet.submit("b", "00000000000000a2"),
        )
        assert first.outcome is second.outcome is model.Outcome.UNKNOWN
        assert max(first.duration_s, second.duration_s) < 3
        assert sum(counts["a"].values()) <= 1
        assert sum(counts["b"].values()) <= 1

    forwarding_trial.run(scenario)


def test_only_the_third_instance_asked_reaches_the_store() -> None:
    """Guards against giving up after the first neighbour, or asking all."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        counts = {
            name: forwarding_trial.count_calls(fleet, name) for name in "bcde"
        }
        fleet.cut_off("silence", "a", "b", "c", "d")
        await asyncio.gather(
            *(
                fleet.submit(name, f"000000000000000{index}")
                for index, name in enumerate("bcd")
            )
        )
        for name in "bcde":
            counts[name].clear()
        outcomes = [
            (await fleet.submit("a", f"00000000000000a{index}")).outcome
            for index in range(6)
        ]
        calls = sum(sum(count.values()) for count in counts.values())
        assert calls <= 3 * len(outcomes)
        # Instance e is asked at the third attempt or later at first, and
        # first after that.
        assert outcomes[1:] == [model.Outcome.DONE] * 5

    forwarding_trial.run(scenario, *(f"north-a/{name}" for name in "abcde"))


@pytest.mark.parametrize("direction", ["request", "answer"])
def test_link_that_works_in_one_direction_only(direction: str) -> None:
    """Guards against waiting for a neighbour whose messages are lost."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        fleet.cut_off("503", "a")
        for name in ("b", "c"):
            faults = fleet.get_faults(name)
            if direction == "request":
                faults.unreachable_from.add("a")
            else:
                faults.lost_answers_to.add("a")
        first = await fleet.submit("a", forwarding_trial.JOB)
        assert first.outcome is model.Outcome.DONE
        # 0.3 s for the store, and 0.4 s for each silent neighbour.
        assert first.duration_s < 1.3
        second = await fleet.submit("a", "00000000000000a2")
        assert second.outcome is model.Outcome.DONE
        assert second.duration_s < 0.5

    forwarding_trial.run(
        scenario, "north-a/a", "north-a/b", "north-a/c", "north-b/d"
    )


def test_slow_neighbour_still_answers_after_the_next_was_asked() -> None:
    """Guards against dropping an answer that arrives after 0.4 s."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        fleet.cut_off("503", "a")
        fleet.get_faults("b").delay_s = 0.5
        answer = await fleet.submit("a", forwarding_trial.JOB)
        assert answer.outcome is model.Outcome.DONE
        assert answer.duration_s < 1.6

    forwarding_trial.run(scenario)


def test_neighbour_that_has_ended_is_skipped() -> None:
    """Guards against the loss of a job because of a refused connection."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        fleet.cut_off("503", "a")
        fleet.network.remove(fleet.instances["b"].address)
        answer = await fleet.submit("a", forwarding_trial.JOB)
        assert answer.outcome is model.Outcome.DONE
        assert answer.duration_s < 0.5

    forwarding_trial.run(scenario, *forwarding_trial.PAIR, "north-a/c")


def test_neighbour_that_drains_takes_no_request() -> None:
    """Guards against a request in the hands of an instance that ends."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        fleet.cut_off("503", "a")
        fleet.instances["b"].is_stopping = True
        answer = await fleet.submit("a", forwarding_trial.JOB)
        assert answer.outcome is model.Outcome.UNKNOWN
        assert fleet.read_job(forwarding_trial.JOB) is None
        fleet.instances["b"].is_stopping = False
        assert (
            await fleet.submit("a", forwarding_trial.JOB)
        ).outcome is model.Outcome.DONE

    forwarding_trial.run(scenario)


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (404, {}),
        (500, {"error": "internal error"}),
        (200, {}),
        (200, {"outcome": 5}),
        (200, {"outcome": "refused for a reason of a later build"}),
    ],
)
def test_neighbour_of_another_build(status: int, body: network.Body) -> None:
    """Guards against an answer that this build does not know."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        async def handle(request: network.Request) -> network.Response:
            return network.Response(status, body)

        fleet.cut_off("503", "a")
        fleet.network.serve(fleet.instances["b"].address, handle)
        answer = await fleet.submit("a", forwarding_trial.JOB)
        assert answer.outcome is model.Outcome.DONE
        assert answer.duration_s < 0.5

    forwarding_trial.run(scenario, *forwarding_trial.PAIR, "north-b/c")


def test_late_write_of_the_sender_changes_nothing() -> None:
    """Guards against a job that is stored twice, or overwritten."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        fleet.store_faults.late_clients.add("a")
        answer = await fleet.submit("a", forwarding_trial.JOB)
        assert answer.outcome is model.Outcome.DONE
        stored, writes = (
            fleet.read_job(forwarding_trial.JOB),
            fleet.store.writes,
        )
        received = fleet.store.received_writes
        fleet.store_faults.late_clients.clear()
        await asyncio.sleep(15)
        assert fleet.store.received_writes > received
        assert fleet.read_job(forwarding_trial.JOB) == stored
        # Two instances write their rows meanwhile.
        assert fleet.store.writes - writes <= 6

    forwarding_trial.run(scenario)


def test_answer_of_the_own_store_is_delivered_while_a_neighbour_hangs() -> (
    None
):
    """Guards against waiting for a neighbour although the answer is ready."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        fleet.get_faults("b").unreachable_from.add("*")
        fleet.cut_off("503", "a")
        submission = asyncio.create_task(
            fleet.submit("a", forwarding_trial.JOB)
        )
        await asyncio.sleep(1.0)
        fleet.reconnect()
        answer = await submission
        assert answer.outcome is model.Outcome.DONE
        assert answer.duration_s < 2.0

    forwarding_trial.run(scenario)


@pytest.mark.parametrize("fault", forwarding_trial.FAULTS)
def test_cancellations_are_forwarded(fault: str) -> None:
    """Guards against work that goes on although its caller cancelled it."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        await fleet.submit("a", forwarding_trial.JOB)
        fleet.cut_off(fault, "a")
        answer = await fleet.cancel("a", forwarding_trial.JOB)
        assert answer.outcome is model.Outcome.DONE
        assert answer.duration_s < 0.5
        assert fleet.is_cancelled(forwarding_trial.JOB)
        missing = await fleet.cancel("a", "00000000000000a2")
        assert missing.outcome is model.Outcome.NO_JOB

    forwarding_trial.run(scenario)


def test_cancellation_that_a_neighbour_may_carry_out_is_unknown() -> None:
    """Guards against "not cancelled" while a neighbour cancels the job."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        await fleet.submit("a", forwarding_trial.JOB)
        fleet.cut_off("503", "a")
        fleet.get_faults("b").lost_answers_to.add("a")
        answer = await fleet.cancel("a", forwarding_trial.JOB)
        assert answer.outcome is model.Outcome.UNKNOWN
        assert fleet.is_cancelled(forwarding_trial.JOB)

    forwarding_trial.run(scenario)


@pytest.mark.parametrize("fault", forwarding_trial.FAULTS)
def test_states_are_read_through_a_neighbour(fault: str) -> None:
    """Guards against callers who learn nothing of a job that was done."""

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        await fleet.submit("a", forwarding_trial.JOB)
        fleet.cut_off(fault, "a")
        lookup = await fleet.read_state("a", forwarding_trial.JOB)
        assert lookup.state is model.JobState.QUEUED
        missing = await fleet.read_state("a", "00000000000000a2")
        assert missing.outcome is model.Outcome.NO_JOB

    forwarding_trial.run(scenario)


@pytest.mark.parametrize("change", ["removed", "moved", "reprioritised"])
def test_receiver_applies_its_own_configuration(change: str) -> None:
    """Guards against a job that is accepted by an outdated configuration.

    The sender is cut off from the store, so that it cannot follow changes.
    """
    queues = {
        "removed": (),
        "moved": (
            model.Queue("other", "office.example", "/renewals/", "office"),
        ),
        "reprioritised": (
            model.Queue(
                "renewals", "office.example", "/renewals/", "office", 3
            ),
        ),
    }

    async def scenario(fleet: entry_fleet.EntryFleet) -> None:
        fleet.cut_off("503", "a")
        configuration = model.Configuration(2, queues[change])
        fleet.instances["b"].configuration.configuration = configuration
        answer = await fleet.submit("a", forwarding_trial.JOB)
        stored = fleet.read_job(forwarding_trial.JOB)
        if change == "reprioritised":
            assert answer.outcome is model.Outcome.DONE
            assert stored is not None
            assert orjson.loads(stored)["queue"][2] == 3
        else:
            assert answer.outcome is model.Outcome.UNKNOWN
            assert stored is None

    forwarding_trial.run(scenario)
