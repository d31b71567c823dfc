"""Order in which groups of waiting tasks get capacity.

Answers the load in which more work waits than fits: callers that can still be
served within their objective come first, and among them those that need least.
"""

import datetime
import enum

import attrs

from tamarackhatch.placement import _policy

# Up to this multiple of its objective a job is late; after that its caller no
# longer has a use for it.
MAX_LATENESS = 3.0
# A submitter's estimate of a run time may be short by this factor. A job that
# can still be served must not be put behind the others for a poor estimate.
ESTIMATE_ERROR = 2.0


class Prospect(enum.IntEnum):
    """How well a job can still be served, from the best on.

    Attributes:
        IN_TIME: It can meet its objective.
        LATE: It misses its objective, and its caller still has a use for it.
        OVERDUE: Its caller no longer has a use for it.
    """

    IN_TIME = 0
    LATE = 1
    OVERDUE = 2


class Rank(enum.IntEnum):
    """Kind of a group of tasks; of one priority, lower ranks go first.

    Attributes:
        STARVED: Tasks that have waited too long behind others.
        BATCH: Batch tasks of jobs that can still be served in time, those of
            small jobs first.
        LONG_RUNNING_FIRST: Long-running tasks that have waited for a while.
            They keep their capacity for long, so urgent batch tasks, which
            return theirs within seconds, still precede them.
        LATE_BATCH: Batch tasks of jobs that miss their objective.
        LONG_RUNNING: Long-running tasks, image by image.
        OVERDUE_BATCH: Batch tasks that no caller waits for any more.
    """

    STARVED = 0
    BATCH = 1
    LONG_RUNNING_FIRST = 2
    LATE_BATCH = 3
    LONG_RUNNING = 4
    OVERDUE_BATCH = 5


_RANK_DESCRIPTIONS = {
    Rank.STARVED: "tasks that have waited too long",
    Rank.BATCH: "batch tasks that can meet their objective",
    Rank.LONG_RUNNING_FIRST: "long-running tasks that have waited",
    Rank.LATE_BATCH: "batch tasks that are late or have no objective",
    Rank.LONG_RUNNING: "new long-running tasks",
    Rank.OVERDUE_BATCH: "batch tasks that nobody waits for any more",
}

Urgency = tuple[float, Rank]


@attrs.frozen(order=True)
class OrderKey:
    """Sort key of a group of waiting tasks; lower ones go first.

    Attributes:
        priority: Priority of the queue.
        rank: Kind of the tasks.
        demand: Millicores that the unfinished tasks of a batch job ask for;
            0 if the tasks have waited too long.
        is_unlimited: Whether any number of the step's long-running tasks may
            share a runner. Limited steps go first because they need the most
            runners of their image; the others fill these up.
        image: Image of long-running tasks.
        accepted: When the job was accepted, in seconds since the epoch.
    """

    priority: float
    rank: Rank
    demand: int
    is_unlimited: bool
    image: str
    accepted: float

    @property
    def sort_key(self) -> tuple[float, Rank, int, bool, str, float]:
        """Tuple of the same order, which costs less in each comparison."""
        return (
            self.priority,
            self.rank,
            self.demand,
            self.is_unlimited,
            self.image,
            self.accepted,
        )

    @property
    def urgency(self) -> Urgency:
        """Priority and rank, which go before the size of a job."""
        return (self.priority, self.rank)


@attrs.frozen
class WaitingGroup:
    """Waiting tasks of one step, as far as their order depends on it.

    Attributes:
        priority: Priority of the queue.
        accepted: When the job was accepted, in seconds since the epoch.
        waited: How long the first of the tasks has waited.
        is_long_running: Whether the tasks run until the job is cancelled.
        is_unlimited: Whether any number of them may share a runner.
        image: Their image.
        demand: Millicores that all unfinished tasks of the job ask for.
        prospect: How well the job can still be served.
        is_interrupted: Whether a long-running task among them has run before.
    """

    priority: float
    accepted: float
    waited: datetime.timedelta
    is_long_running: bool = False
    is_unlimited: bool = True
    image: str = ""
    demand: int = 0
    prospect: Prospect = Prospect.IN_TIME
    is_interrupted: bool = False


_BATCH_RANKS = {
    Prospect.IN_TIME: Rank.BATCH,
    Prospect.LATE: Rank.LATE_BATCH,
    Prospect.OVERDUE: Rank.OVERDUE_BATCH,
}


def assess_prospect(
    elapsed: datetime.timedelta,
    remaining: datetime.timedelta,
    objective: datetime.timedelta,
) -> Prospect:
    """Returns how well a job can still be served.

    Args:
        elapsed: Time since the job was accepted or became due.
        remaining: Least time that it still needs.
        objective: Its latency objective.
    """
    expected = elapsed + remaining
    if expected <= objective:
        return Prospect.IN_TIME
    if expected <= MAX_LATENESS * objective:
        return Prospect.LATE
    return Prospect.OVERDUE


def make_order_key(
    group: WaitingGroup, policy: _policy.PlacementPolicy
) -> OrderKey:
    """Returns the sort key of a group of waiting tasks."""
    if not group.is_long_running:
        is_starved = group.waited >= policy.batch_wait
        return OrderKey(
            group.priority,
            Rank.STARVED if is_starved else _BATCH_RANKS[group.prospect],
            0 if is_starved else group.demand,
            False,
            "",
            group.accepted,
        )
    if group.waited < policy.long_running_wait:
        return OrderKey(
            group.priority,
            Rank.LONG_RUNNING,
            0,
            group.is_unlimited,
            group.image,
            group.accepted,
        )
    is_starved = (
        group.is_interrupted or group.waited >= policy.max_long_running_wait
    )
    rank = Rank.STARVED if is_starved else Rank.LONG_RUNNING_FIRST
    return OrderKey(group.priority, rank, 0, False, "", group.accepted)


def describe_precedence(first: OrderKey, second: OrderKey) -> str:
    """Returns in words why a group of tasks precedes another one."""
    if first.priority != second.priority:
        return (
            f"its priority {first.priority:g} is more urgent than "
            f"{second.priority:g}"
        )
    if first.rank != second.rank:
        return (
            f"{_RANK_DESCRIPTIONS[first.rank]} precede "
            f"{_RANK_DESCRIPTIONS[second.rank]}"
        )
    if first.demand != second.demand:
        return (
            f"its job asks for less: {first.demand / 1000:g} cores, not "
            f"{second.demand / 1000:g}"
        )
    if first.is_unlimited != second.is_unlimited:
        return "it limits the tasks on one runner"
    if first.image != second.image:
        return "tasks are placed image by image"
    return "its job was accepted earlier"
