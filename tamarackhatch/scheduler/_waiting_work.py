"""Logs what waiting tasks lack, and in which pieces capacity is free."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import datetime

import attrs

from tamarackhatch import placement
from tamarackhatch.scheduler import _candidates
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _group_order
from tamarackhatch.scheduler import _state

_INTERVAL = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Each examined step is compared with all runners, at most so many a second.
_MAX_EXAMINED_STEPS = 32
# Queues that wait most; the others are counted together.
_MAX_QUEUES = 8
# In thousandths of a core. Tasks that wait beside much free room are usually
# larger than the smaller pieces.
_LARGE_PIECE_CPU = 16_000

# Service, queue, and whether the tasks are long-running.
_Kind = tuple[str, str, bool]


@attrs.define
class _WaitingKind:
    """Waiting tasks of one kind in one queue.

    Attributes:
        tasks: Number of tasks.
        steps: Number of their steps.
        oldest: Longest wait of a task.
        smallest_cpu: Least CPU that one asks for, in thousandths of a core.
        largest_cpu: Most CPU that one asks for, in thousandths of a core.
        lacking: Number of tasks by what they lack.
    """

    tasks: int = 0
    steps: int = 0
    oldest: datetime.timedelta = datetime.timedelta()
    smallest_cpu: int = 0
    largest_cpu: int = 0
    lacking: dict[str, int] = attrs.field(factory=dict)

    def add(
        self,
        tasks: list[_state.TaskEntry],
        lacking: str,
        now: datetime.timedelta,
    ) -> None:
        """Adds the waiting tasks of a step."""
        cpu = tasks[0].step.reserved.processors
        self.smallest_cpu = min(self.smallest_cpu, cpu) if self.steps else cpu
        self.largest_cpu = max(self.largest_cpu, cpu)
        self.tasks += len(tasks)
        self.steps += 1
        self.oldest = max(
            self.oldest, max(task.compute_wait(now) for task in tasks)
        )
        self.lacking[lacking] = self.lacking.get(lacking, 0) + len(tasks)


@attrs.define
class _LargePieces:
    """Free processors in large pieces, and what keeps tasks from them.

    Attributes:
        large_cpu: Those on runners that may get tasks, in thousandths of a
            core.
        large_memory_mb: Memory that is free on these runners.
        best_effort_memory_mb: Memory that best-effort tasks reserve there.
        closed_cpu: Those on other runners, by the reason why they are closed.
    """

    large_cpu: int = 0
    large_memory_mb: int = 0
    best_effort_memory_mb: int = 0
    closed_cpu: dict[str, int] = attrs.field(factory=dict)


class WaitingWorkLog:
    """Logs once a second what the placement passes leave waiting."""

    def __init__(self, context: _context.SchedulerContext) -> None:
        self._context = context
        self._logged_at: datetime.timedelta | None = None

    def record_pass(
        self,
        ordered: Sequence[_group_order.OrderedGroup],
        candidates: Mapping[str, Sequence[placement.CandidateRunner]],
        kept: Iterable[placement.CandidateRunner],
    ) -> None:
        """Logs the result of a placement pass, unless one was just logged.

        Args:
            ordered: The groups of waiting tasks, of which some are empty now,
                with their sort keys.
            candidates: Runners that any task may use, by service.
            kept: Runners that are reserved for a task.
        """
        now = self._context.get_now()
        if self._logged_at is not None and now - self._logged_at < _INTERVAL:
            return
        self._logged_at = now
        kinds = self._summarise(ordered, candidates, now)
        if not kinds:
            return
        largest = sorted(kinds.items(), key=lambda item: -item[1].tasks)
        for (service, queue, is_long_running), kind in largest[:_MAX_QUEUES]:
            self._context.log.summary(
                "waiting_work",
                service=service,
                queue=queue,
                is_long_running=is_long_running,
                tasks=kind.tasks,
                steps=kind.steps,
                oldest_ms=kind.oldest // _MILLISECOND,
                smallest_cpu=kind.smallest_cpu,
                largest_cpu=kind.largest_cpu,
                lacking=kind.lacking,
            )
        if len(largest) > _MAX_QUEUES:
            self._context.log.summary(
                "waiting_work_omitted",
                queues=len(largest) - _MAX_QUEUES,
                tasks=sum(kind.tasks for _, kind in largest[_MAX_QUEUES:]),
            )
        self._log_free_room({service for service, _, _ in kinds}, kept)

    def _summarise(
        self,
        ordered: Sequence[_group_order.OrderedGroup],
        candidates: Mapping[str, Sequence[placement.CandidateRunner]],
        now: datetime.timedelta,
    ) -> dict[_Kind, _WaitingKind]:
        kinds: dict[_Kind, _WaitingKind] = {}
        examined = 0
        for _, group in ordered:
            tasks = list(group.values())
            if not tasks or tasks[0].step.is_best_effort:
                continue
            first = tasks[0]
            queue = first.job.job.queue
            lacking = "not examined"
            if examined < _MAX_EXAMINED_STEPS:
                examined += 1
                shortage = placement.find_shortage(
                    first.key, first.step, candidates.get(queue.service, ())
                )
                lacking = shortage.name.lower()
            kinds.setdefault(
                (queue.service, queue.name, first.step.is_long_running),
                _WaitingKind(),
            ).add(tasks, lacking, now)
        return kinds

    def _log_free_room(
        self,
        services: set[str],
        kept: Iterable[placement.CandidateRunner],
    ) -> None:
        kept_cpu: dict[str, int] = {}
        for candidate in kept:
            load = candidate.load
            kept_cpu[load.service] = kept_cpu.get(load.service, 0) + max(
                0, load.compute_free().processors
            )
        now = self._context.get_now()
        for service in services:
            entries = [
                entry
                for entry in self._context.list_open_runners()
                if entry.record.service == service
            ]
            room = placement.describe_free_room(
                entry.load for entry in entries
            )
            self._context.log.summary(
                "free_room",
                service=service,
                runners=room.runners,
                free_cpu=room.processors,
                largest_cpu=room.largest,
                cpu_in_pieces=room.pieces,
                batch_cpu=room.batch_cpu,
                kept_cpu=kept_cpu.get(service, 0),
                **attrs.asdict(self._describe_large_pieces(entries, now)),
            )

    def _describe_large_pieces(
        self, entries: Iterable[_fleet.RunnerEntry], now: datetime.timedelta
    ) -> _LargePieces:
        pieces = _LargePieces()
        for entry in entries:
            free = entry.load.compute_free()
            if free.processors < _LARGE_PIECE_CPU:
                continue
            reason = _candidates.describe_closure(self._context, entry, now)
            if reason:
                pieces.closed_cpu[reason] = (
                    pieces.closed_cpu.get(reason, 0) + free.processors
                )
                continue
            pieces.large_cpu += free.processors
            pieces.large_memory_mb += free.memory_mb
            pieces.best_effort_memory_mb += sum(
                task.step.reserved.memory_mb
                for task in entry.tasks.values()
                if task.step.is_best_effort
            )
        return pieces
