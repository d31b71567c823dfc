"""Checks of the guarantees over the merged records of all stand-ins."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import enum

import attrs

from standins import audit
from standins import records

MAX_SLOTS = 8
MAX_CONNECTIONS = 64
# A killed process's connections end when its peers learn of it.
_KILL_MARGIN_SECONDS = 1.0


class Rule(enum.Enum):
    """Rules that a history must keep."""

    DOUBLE_RUN = "a task ran in two places at once"
    OVER_COMMITMENT = "a worker was committed beyond its resources"
    WORKER_RULE = "a worker saw a forbidden order followed"
    RESUMED_TWICE = "evicted work was resumed more than once"
    NEVER_RESUMED = "evicted work was not resumed"
    RAN_TWICE = "a request that may not be repeated ran twice"
    TOO_MANY_SLOTS = "a runner had too many requests at once"
    TOO_MANY_CONNECTIONS = "a runner had too many connections"
    NOT_RUN_BUT_RAN = "a request that was called not run had run"
    WRONG_ANSWER = "an answer does not match its request"
    LOST_WITHOUT_KILL = "a caller got no outcome, though nothing was killed"


@attrs.frozen
class Violation:
    """One broken rule."""

    rule: Rule
    detail: str

    def __str__(self) -> str:
        return f"{self.rule.value}: {self.detail}"


@attrs.frozen
class History:
    """Everything that was recorded.

    Attributes:
        workers: Records of all workers.
        runners: Records of all runners.
        callers: What the callers learned.
        killed_at: Times at which an entry instance was killed; callers
            with a request in flight then may lose it.
        cancelled_jobs: Jobs whose tasks need not be resumed.
        is_settled: Whether all work had its time to end. While it is not,
            evicted work may still be waiting.
    """

    workers: tuple[records.WorkerRecords, ...] = ()
    runners: tuple[records.RunnerRecords, ...] = ()
    callers: tuple[records.CallerRequest, ...] = ()
    killed_at: tuple[float, ...] = ()
    cancelled_jobs: frozenset[str] = frozenset()
    is_settled: bool = True


def check_history(history: History) -> tuple[Violation, ...]:
    """Returns all violations, by rule."""
    return (
        *check_workers(history.workers),
        *check_tasks(
            history.workers, history.cancelled_jobs, history.is_settled
        ),
        *check_runners(history.runners),
        *check_single_runs(history.runners, history.callers),
        *check_outcomes(history.runners, history.callers),
        *check_lost(history.callers, history.killed_at),
    )


def check_workers(
    workers: Iterable[records.WorkerRecords],
) -> Iterator[Violation]:
    """Replays each worker's events, and adds what it found itself."""
    for worker in workers:
        replay = audit.WorkerAudit(worker.worker, worker.capacity)
        for event in worker.events:
            replay.note(event)
        for text in dict.fromkeys((*replay.violations, *worker.violations)):
            is_commitment = "over-commitment" in text
            yield Violation(
                Rule.OVER_COMMITMENT if is_commitment else Rule.WORKER_RULE,
                text,
            )


def check_tasks(
    workers: Iterable[records.WorkerRecords],
    cancelled_jobs: frozenset[str] = frozenset(),
    is_settled: bool = True,
) -> Iterator[Violation]:
    """Follows each task over all workers, in the order of time."""
    timelines: dict[str, list[tuple[str, records.WorkerEvent]]] = (
        collections.defaultdict(list)
    )
    for worker in workers:
        for event in worker.events:
            is_end = event.kind in records.END_KINDS
            if event.kind is records.EventKind.START or is_end:
                timelines[event.task].append((worker.worker, event))
    for task, timeline in sorted(timelines.items()):
        # The sort is stable: events of one worker keep their order.
        timeline.sort(key=lambda item: item[1].at)
        is_cancelled = task.rpartition("/")[0] in cancelled_jobs
        yield from _check_timeline(task, timeline, is_settled, is_cancelled)


def _check_timeline(
    task: str,
    timeline: list[tuple[str, records.WorkerEvent]],
    is_settled: bool,
    is_cancelled: bool,
) -> Iterator[Violation]:
    running: dict[tuple[str, int], float] = {}
    started: set[int] = set()
    last_end: records.WorkerEvent | None = None
    highest_evicted = 0
    for worker, event in timeline:
        place = f"{task} attempt {event.attempt} on {worker}"
        if event.kind is not records.EventKind.START:
            running.pop((worker, event.attempt), None)
            last_end = event
            if event.kind in records.UNFINISHED_KINDS:
                highest_evicted = max(highest_evicted, event.attempt)
            continue
        for other, attempt in running:
            yield Violation(
                Rule.DOUBLE_RUN,
                f"{place} while attempt {attempt} ran on {other}",
            )
        is_after_finish = (
            last_end is not None
            and last_end.kind is records.EventKind.FINISH
            and highest_evicted > 0
        )
        if event.attempt in started or event.attempt <= highest_evicted:
            yield Violation(Rule.RESUMED_TWICE, f"{place} started again")
        elif is_after_finish:
            yield Violation(Rule.RESUMED_TWICE, f"{place} after its finish")
        started.add(event.attempt)
        running[worker, event.attempt] = event.at
    if not is_settled or is_cancelled or running or last_end is None:
        return
    if last_end.kind in records.UNFINISHED_KINDS:
        yield Violation(
            Rule.NEVER_RESUMED, f"{task} after attempt {last_end.attempt}"
        )


def check_runners(
    runners: Iterable[records.RunnerRecords],
) -> Iterator[Violation]:
    """Checks the limits, which hold over all entry instances together."""
    for runner in runners:
        slots = max(runner.max_slots, _count_most_at_once(runner))
        if slots > MAX_SLOTS:
            yield Violation(Rule.TOO_MANY_SLOTS, f"{runner.runner}: {slots}")
        if runner.max_connections > MAX_CONNECTIONS:
            yield Violation(
                Rule.TOO_MANY_CONNECTIONS,
                f"{runner.runner}: {runner.max_connections}",
            )


def _count_most_at_once(runner: records.RunnerRecords) -> int:
    changes: list[tuple[float, int]] = []
    for run in runner.requests:
        if run.kind is not records.RequestKind.WATCH:
            changes.append((run.started_at, 1))
            if run.ended_at is not None:
                changes.append((run.ended_at, -1))
    most = current = 0
    for _, change in sorted(changes):
        current += change
        most = max(most, current)
    return most


def check_single_runs(
    runners: Iterable[records.RunnerRecords],
    callers: Iterable[records.CallerRequest],
) -> Iterator[Violation]:
    """Checks that no request that may not be repeated ran twice."""
    runs = _group_runs(runners)
    for request in callers:
        count = len(runs.get(request.request_id, ()))
        if not request.is_repeatable and count > 1:
            yield Violation(
                Rule.RAN_TWICE, f"{request.request_id} ran {count} times"
            )


def check_outcomes(
    runners: Iterable[records.RunnerRecords],
    callers: Iterable[records.CallerRequest],
) -> Iterator[Violation]:
    """Compares what the callers learned with what the runners did."""
    runs = _group_runs(runners)
    for request in callers:
        name = request.request_id
        own = runs.get(name, [])
        if request.outcome is records.CallerOutcome.NOT_RUN and own:
            yield Violation(Rule.NOT_RUN_BUT_RAN, f"{name} ran on {own[0][0]}")
        if request.outcome is not records.CallerOutcome.ANSWERED:
            continue
        if not request.is_matching:
            yield Violation(Rule.WRONG_ANSWER, f"{name}: body is for another")
        elif not any(
            run.digest == request.digest and run.status == request.status
            for _, run in own
        ) and not _is_early_end(request):
            yield Violation(
                Rule.WRONG_ANSWER,
                f"{name}: no run of it gave this answer"
                f" (status {request.status}, {len(own)} runs)",
            )


def check_lost(
    callers: Iterable[records.CallerRequest], killed_at: tuple[float, ...]
) -> Iterator[Violation]:
    """Checks that only a kill leaves a caller without an outcome."""
    for request in callers:
        ended_at = request.sent_at + request.latency_ms / 1000
        is_explained = any(
            request.sent_at - _KILL_MARGIN_SECONDS
            <= moment
            <= ended_at + _KILL_MARGIN_SECONDS
            for moment in killed_at
        )
        is_lost = request.outcome is records.CallerOutcome.LOST
        if is_lost and not is_explained:
            yield Violation(
                Rule.LOST_WITHOUT_KILL, f"{request.request_id}: {request.code}"
            )


def _is_early_end(request: records.CallerRequest) -> bool:
    """Tells whether a watch ended without a change, at a planned stop."""
    return request.kind is records.RequestKind.WATCH and request.status == 204


def _group_runs(
    runners: Iterable[records.RunnerRecords],
) -> dict[str, list[tuple[str, records.RunnerRequest]]]:
    runs: dict[str, list[tuple[str, records.RunnerRequest]]] = (
        collections.defaultdict(list)
    )
    for runner in runners:
        for run in runner.requests:
            runs[run.request_id].append((runner.runner, run))
    return runs
