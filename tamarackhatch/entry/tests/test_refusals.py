"""Tests that a refused job never runs, whatever the store's faults.

The instances are told that new jobs wait for 20 s. All writes of callers'
attempts race with the one that records the refusal.
"""

import asyncio
import datetime

import orjson
import pytest

from standins import virtual_time
from tamarackhatch.entry import _messages
from tamarackhatch.entry.tests import refusal_trial
from tamarackhatch import model
from tamarackhatch import records

_S = datetime.timedelta(seconds=1)
_DONE, _REFUSED = model.Outcome.DONE, model.Outcome.REFUSED
_UNKNOWN = model.Outcome.UNKNOWN


def test_refused_job_is_accepted_when_its_caller_returns() -> None:
    """Guards against a refusal row that keeps the job out for ever.

    The objective counts from the first attempt.
    """

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a", "x/b")
        await trial.start("a")
        refused_at = trial.fleet.clock.get_utc()
        lookup = await trial.submit("a")
        assert lookup.outcome is _REFUSED
        assert lookup.retry_after == 20 * _S
        refusal = trial.read_refusal()
        assert refusal is not None and refusal.count == 1
        assert not trial.is_stored()
        await trial.end_overload()
        assert (await trial.submit("b")).outcome is _DONE
        value = trial.fleet.read_job(refusal_trial.JOB)
        assert value is not None
        job = records.decode_job(refusal_trial.JOB, value)
        assert job.accepted_at - refused_at < 0.1 * _S
        assert (await trial.submit("a")).outcome is _DONE

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("refusing", ["a", "b"])
def test_repeated_refusal_counts_from_the_first(refusing: str) -> None:
    """Guards against an order of callers that depends on the instance."""

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a", "x/b")
        await trial.start("a", "b")
        assert (await trial.submit("a")).outcome is _REFUSED
        first = trial.read_refusal()
        await asyncio.sleep(1)
        assert (await trial.submit("a", "00000000000000bb")).retry_after == (
            21 * _S
        )
        lookup = await trial.submit(refusing)
        assert lookup.outcome is _REFUSED
        # Work that another caller asked for later does not go before it.
        assert lookup.retry_after == 20 * _S
        second = trial.read_refusal()
        assert first is not None and second is not None
        assert second.first_refused_at == first.first_refused_at
        assert second.count == 2

    virtual_time.run_virtually(simulate())


def test_job_that_is_late_by_its_returns_is_accepted() -> None:
    """Guards against refusing a job that free capacity would not help.

    Its caller has a use for the answer for 4.5 s.
    """

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a", "x/b")
        await trial.start("a", "b")
        assert (await trial.submit("a")).outcome is _REFUSED
        await asyncio.sleep(4.2)
        assert (await trial.submit("b")).outcome is _DONE

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("delay_s", [0.5, 1.0, 3.0, 8.0])
@pytest.mark.parametrize("returns", [False, True])
def test_pending_earlier_write_arrives_after_the_refusal(
    delay_s: float, returns: bool
) -> None:
    """Guards against a job that runs although its caller was told otherwise.

    The writes of the caller's first attempt arrive after the second attempt
    was refused elsewhere.
    """

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a", "x/b")
        await trial.start("b")
        faults = trial.fleet.store_faults
        faults.late_clients.add("a")
        faults.late_delay_range_s = (delay_s + 3, delay_s + 3)
        assert (await trial.submit("a")).outcome is _UNKNOWN
        lookup = await trial.submit("b")
        assert lookup.outcome is _REFUSED
        if returns:
            await asyncio.sleep(1)
            assert (await trial.submit("b")).outcome is _REFUSED
        await asyncio.sleep(15)
        assert not trial.is_stored()

    virtual_time.run_virtually(simulate())


def test_pending_earlier_write_arrives_before_the_refusal() -> None:
    """Guards against refusing a job that is stored."""

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a", "x/b")
        await trial.start("b")
        faults = trial.fleet.store_faults
        faults.late_clients.add("a")
        faults.late_delay_range_s = (3, 3)
        assert (await trial.submit("a")).outcome is _UNKNOWN
        await asyncio.sleep(3)
        assert (await trial.submit("b")).outcome is _DONE
        assert trial.read_refusal() is None

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("offset_ms", range(-12, 13, 2))
def test_two_instances_refuse_and_accept_at_once(offset_ms: int) -> None:
    """Guards against two answers of which one must be untrue."""

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a", "x/b")
        await trial.start("b")

        async def submit(name: str, delay_ms: int) -> model.Outcome:
            await asyncio.sleep(max(0, delay_ms) / 1000)
            return (await trial.submit(name)).outcome

        outcomes = await asyncio.gather(
            submit("a", offset_ms), submit("b", -offset_ms)
        )
        assert outcomes[0] is outcomes[1]
        assert trial.is_stored() is (outcomes[0] is _DONE)

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("lost_s", [0.01, 0.2, 0.6, 1.2, 2.0, 5.0])
def test_unknown_outcome_of_the_refusal(lost_s: float) -> None:
    """Guards against an untrue answer when the store's answers are lost."""

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a", "x/b")
        await trial.start("a")
        faults = trial.fleet.store_faults
        faults.lost_answers_to.add("a")
        submission = asyncio.create_task(trial.submit("a"))
        await asyncio.sleep(lost_s)
        faults.lost_answers_to.clear()
        outcome = (await submission).outcome
        assert outcome in (_REFUSED, _UNKNOWN)
        await asyncio.sleep(10)
        assert not trial.is_stored()
        assert trial.read_refusal() is not None
        await trial.end_overload()
        assert (await trial.submit("b")).outcome is _DONE

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    ("status", "outage_s", "expected"),
    [
        (503, 0.8, _DONE),
        (503, 3.0, _UNKNOWN),
        (429, 1.2, _DONE),
        (429, 3.0, _UNKNOWN),
    ],
)
def test_refusal_that_cannot_be_recorded(
    status: int, outage_s: float, expected: model.Outcome
) -> None:
    """Guards against a refusal without a row that makes it true."""

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a")
        await trial.start("a")
        faults = trial.fleet.store_faults
        faults.refused_clients["a"] = status
        submission = asyncio.create_task(trial.submit("a"))
        await asyncio.sleep(outage_s)
        faults.refused_clients.clear()
        outcome = (await submission).outcome
        # The refusal is given up, and the job is submitted as usual.
        assert outcome is expected
        assert trial.read_refusal() is None
        assert trial.is_stored() is (outcome is _DONE)

    virtual_time.run_virtually(simulate())


def test_forwarded_job_is_refused_with_its_time() -> None:
    """Guards against a Retry-After that is lost between instances."""

    async def simulate() -> None:
        trial = refusal_trial.Trial(
            "x/a", "x/b", "x/c", has_internal_addresses=True
        )
        await trial.fleet.discover()
        await trial.start("b", "c")
        trial.fleet.store_faults.refused_clients["a"] = 503
        lookup = await trial.submit("a")
        assert lookup.outcome is _REFUSED
        assert lookup.retry_after == 20 * _S
        trial.fleet.store_faults.refused_clients.clear()
        await asyncio.sleep(5)
        assert not trial.is_stored()
        await trial.end_overload()
        assert (await trial.submit("a")).outcome is _DONE

    virtual_time.run_virtually(simulate())


def _make_call(job: model.Job, version: int | None) -> tuple[str, bytes]:
    stored = orjson.Fragment(records.encode_job(job))
    document = {
        "timeout_ms": 2000,
        "sent_ms": int(job.accepted_at.timestamp() * 1000),
        "host": refusal_trial.QUEUE.host,
        "path_prefix": refusal_trial.QUEUE.path_prefix,
        "job": stored,
    }
    if version is not None:
        document["store_version"] = version
    return f"/v1/forwarded/jobs/{job.identifier}", orjson.dumps(document)


@pytest.mark.parametrize(
    ("version", "overloaded", "expected"),
    [
        pytest.param(0, "a", "refused", id="overload"),
        pytest.param(0, "", "done", id="no overload"),
        pytest.param(None, "a", "done", id="earlier build"),
    ],
)
def test_message_of_another_instance(
    version: int | None, overloaded: str, expected: str
) -> None:
    """Guards against refusals that an earlier build does not understand."""

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a", has_internal_addresses=True)
        await trial.start(overloaded)
        receiver = trial.fleet.instances["a"].receiver
        path, body = _make_call(trial.make_job(), version)
        reply = await receiver.answer("POST", path, body)
        document = orjson.loads(reply.body)
        assert document["outcome"] == expected
        if expected == "refused":
            assert document["retry_after_ms"] == 20_000

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("has_version", [False, True])
def test_forwarded_attempt_arrives_after_the_refusal(
    has_version: bool,
) -> None:
    """Guards against a copy of a refused attempt that stores the job.

    The receiver learnt of the refusal after the sender's attempt had begun.
    """

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a", "x/b", has_internal_addresses=True)
        await trial.start("a")
        store = trial.fleet.store
        version = store.put("other", "row", "")
        assert (await trial.submit("a")).outcome is _REFUSED
        await asyncio.sleep(2)
        receiver = trial.fleet.instances["b"].receiver
        path, body = _make_call(
            trial.make_job(), version if has_version else None
        )
        reply = await receiver.answer("POST", path, body)
        assert orjson.loads(reply.body)["outcome"] == "refused"
        assert not trial.is_stored()

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("version", ["1", 1.5, True, [1]])
def test_malformed_version_is_rejected(version: object) -> None:
    """Guards against a message that defeats the condition of a write."""

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a", has_internal_addresses=True)
        await trial.start()
        receiver = trial.fleet.instances["a"].receiver
        path, body = _make_call(trial.make_job(), 0)
        document = orjson.loads(body)
        document["store_version"] = version
        reply = await receiver.answer("POST", path, orjson.dumps(document))
        assert reply.status == 400

    virtual_time.run_virtually(simulate())


def test_normal_submission_makes_one_call() -> None:
    """Guards against a further call to the store for each submission."""

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a")
        await trial.start()
        before = trial.fleet.store.received_writes
        assert (await trial.submit("a")).outcome is _DONE
        assert trial.fleet.store.received_writes == before + 1

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize("is_pending", [False, True])
def test_returning_caller_at_an_instance_that_lags_behind(
    is_pending: bool,
) -> None:
    """Guards against an untrue refusal by an instance with an old version.

    It cannot tell whether the caller's attempt began before the refusal. A
    write of a return to another instance may be pending, which relies on that
    refusal.
    """

    async def simulate() -> None:
        trial = refusal_trial.Trial("x/a", "x/b", "x/c")
        faults = trial.fleet.store_faults
        await trial.start("a")
        faults.lost_reads.add(("b", "beat-0"))
        await asyncio.sleep(2)
        assert (await trial.submit("a")).outcome is _REFUSED
        await trial.end_overload()
        if is_pending:
            # The first write finds the refusal, and the second is late.
            submission = asyncio.create_task(trial.submit("c"))
            await asyncio.sleep(0.005)
            faults.late_clients.add("c")
            faults.late_delay_range_s = (8, 8)
            assert (await submission).outcome is _UNKNOWN
            faults.late_clients.clear()
        lookup = await trial.submit("b")
        assert lookup.outcome is _REFUSED
        assert lookup.retry_after == _S
        await asyncio.sleep(15)
        assert not trial.is_stored()
        faults.lost_reads.clear()
        await asyncio.sleep(3)
        assert (await trial.submit("b")).outcome is _DONE

    virtual_time.run_virtually(simulate())


@pytest.mark.parametrize(
    "body",
    [
        {"outcome": "refused"},
        {"outcome": "refused", "retry_after_ms": None},
        {"outcome": "refused", "retry_after_ms": 1.5},
        {"outcome": "refused", "retry_after_ms": 10**18},
    ],
)
def test_malformed_refusal_of_another_instance(
    body: dict[str, object],
) -> None:
    """Guards against a caller that is answered by a damaged message."""
    with pytest.raises(_messages.MalformedMessageError):
        _messages.decode_answer(_messages.Kind.SUBMISSION, orjson.dumps(body))
