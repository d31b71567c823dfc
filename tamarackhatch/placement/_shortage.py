"""What waiting tasks lack, and in which pieces capacity is free.

Answers no load itself: it shows an operator whether tasks wait for
processors, for memory or for a limit, and whether what is free would suffice
if it were on fewer runners.
"""

from collections.abc import Iterable
import enum

import attrs

from tamarackhatch import model
from tamarackhatch.placement import _candidate
from tamarackhatch.placement import _choice
from tamarackhatch.placement import _load

# Upper limits of the pieces of free processors that are told apart, in
# thousandths of a core.
_PIECE_LIMITS = (4_000, 8_000, 16_000, 32_000)


class Shortage(enum.IntEnum):
    """What keeps a task from a runner, in the order of the checks.

    Attributes:
        PROCESSORS: Other tasks reserve the processors.
        MEMORY: Processors are free, memory is not.
        ACCELERATORS: Only accelerators are missing.
        RESTRICTION: Only the label or the limit of its step forbids it.
        STARTS: The runner gets no more starts until it has proven sound.
        NONE: It fits; another decision keeps the task waiting.
    """

    PROCESSORS = 0
    MEMORY = 1
    ACCELERATORS = 2
    RESTRICTION = 3
    STARTS = 4
    NONE = 5


@attrs.frozen
class FreeRoom:
    """Processors that no task reserves, by the size of the pieces.

    Attributes:
        runners: Number of runners.
        processors: Free processors, in thousandths of a core.
        largest: Largest piece, in thousandths of a core.
        pieces: Free processors in pieces of up to 4, 8, 16, 32 and more cores.
        batch_cpu: Processors that batch tasks reserve, which will be free
            within seconds, in thousandths of a core.
    """

    runners: int
    processors: int
    largest: int
    pieces: tuple[int, ...]
    batch_cpu: int


def find_shortage(
    key: model.TaskKey,
    step: model.Step,
    candidates: Iterable[_candidate.CandidateRunner],
) -> Shortage:
    """Returns what a task lacks on the runner that comes closest.

    Args:
        key: The task.
        step: Its step.
        candidates: Runners that may get it.
    """
    closest = Shortage.PROCESSORS
    for candidate in candidates:
        shortage = _compare(key, step, candidate)
        if shortage > closest:
            closest = shortage
            if closest is Shortage.NONE:
                break
    return closest


def describe_free_room(loads: Iterable[_load.RunnerLoad]) -> FreeRoom:
    """Returns how much is free on runners, and in which pieces."""
    pieces = [0] * (len(_PIECE_LIMITS) + 1)
    runners = largest = batch_cpu = 0
    for load in loads:
        runners += 1
        batch_cpu += load.batch_cpu
        free = load.compute_free().processors
        if free <= 0:
            continue
        largest = max(largest, free)
        pieces[sum(free > limit for limit in _PIECE_LIMITS)] += free
    return FreeRoom(runners, sum(pieces), largest, tuple(pieces), batch_cpu)


def _compare(
    key: model.TaskKey,
    step: model.Step,
    candidate: _candidate.CandidateRunner,
) -> Shortage:
    load = candidate.load
    if not load.has_capacity(step):
        free, reserved = load.compute_free(), step.reserved
        if free.processors < reserved.processors:
            return Shortage.PROCESSORS
        if free.memory_mb < reserved.memory_mb:
            return Shortage.MEMORY
        return Shortage.ACCELERATORS
    if not _choice.is_allowed(load, key, step):
        return Shortage.RESTRICTION
    is_limited = candidate.is_limit_strict and not step.is_long_running
    if is_limited and load.transient_count >= candidate.start_limit:
        return Shortage.STARTS
    return Shortage.NONE
