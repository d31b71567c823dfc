"""Choice of workers for tasks, and of victims for preemption."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import itertools

import attrs
import xxhash

from tamarackhatch import model
from tamarackhatch.placement import _health
from tamarackhatch.placement import _interference

# Weights of the terms of a score; the lowest score wins.
# Fewer and larger groups save transactions of the store.
_GROUP_WEIGHT = 1.0
_FIT_WEIGHT = 1.0
_INTERFERENCE_WEIGHT = 2.0
_RACK_WEIGHT = 0.5
# Keeps workers with accelerators free for tasks that need them.
_ACCELERATOR_WEIGHT = 2.0
# Different dispatchers rank equal workers differently and collide less.
_TIE_WEIGHT = 0.02
# Sets of victims up to this size are searched in full, larger ones greedily.
_EXACT_VICTIMS = 2


@attrs.frozen
class Candidate:
    """A worker that may take tasks.

    Attributes:
        backend: The worker as the instance list shows it.
        record: Its row, with its capacity brought up to date.
        free: What no commitment and no reservation holds.
    """

    backend: model.BackendServer
    record: model.WorkerRecord
    free: model.Resources


@attrs.frozen
class Demand:
    """Pending tasks of one job that may be placed now.

    Attributes:
        spec: The job.
        limit: Most tasks to place at once.
        excluded: Workers that failed one of the tasks.
        rack_counts: Tasks of the job already placed, by rack.
    """

    spec: model.JobSpec
    limit: int
    excluded: frozenset[str] = frozenset()
    rack_counts: Mapping[tuple[str, str], int] = attrs.field(factory=dict)


@attrs.frozen
class Choice:
    """The worker chosen for a group of tasks."""

    candidate: Candidate
    count: int
    score: float
    reason: str


@attrs.frozen
class Preemption:
    """Tasks to evict from one worker so that one urgent task fits."""

    candidate: Candidate
    victims: tuple[model.Commitment, ...]


def compute_free(
    record: model.WorkerRecord, job: str, now: datetime.datetime
) -> model.Resources:
    """Returns what the job may use on the worker."""
    free = record.compute_free()
    reservation = record.reservation
    if reservation is None or reservation.job == job:
        return free
    if now >= reservation.until:
        return free
    return free - reservation.resources


def count_fitting(need: model.Resources, free: model.Resources) -> int:
    """Returns how many times the need fits; 0 if any amount is negative."""
    if min(free.processors, free.memory_mb, free.accelerators) < 0:
        return 0
    counts = [
        amount // wanted
        for amount, wanted in (
            (free.processors, need.processors),
            (free.memory_mb, need.memory_mb),
            (free.accelerators, need.accelerators),
        )
        if wanted > 0
    ]
    return max(min(counts, default=0), 0)


class PlacementPolicy:
    """Pure choices; all state is in the arguments and the model."""

    def __init__(self, interference: _interference.InterferenceModel) -> None:
        self._interference = interference

    def count_tasks(
        self, demand: Demand, candidate: Candidate, now: datetime.datetime
    ) -> int:
        """Returns how many tasks of the demand the worker may take now."""
        if candidate.backend.worker in demand.excluded:
            return 0
        free = candidate.free
        if candidate.record.reservation is not None:
            free = compute_free(candidate.record, demand.spec.job, now)
        count = min(count_fitting(demand.spec.resources, free), demand.limit)
        allowed = _health.count_allowed_tasks(candidate.record, now)
        return count if allowed is None else min(count, allowed)

    def choose_worker(
        self,
        demand: Demand,
        candidates: Iterable[Candidate],
        now: datetime.datetime,
    ) -> Choice | None:
        """Returns the best worker for a group of tasks, or None."""
        need = demand.spec.resources
        best: Candidate | None = None
        best_count = 0
        best_score = 0.0
        for candidate in candidates:
            free = candidate.free
            # Most workers fail one of these on a busy fleet. A reservation
            # may give its job more than ``free`` shows.
            if candidate.record.reservation is None and (
                free.processors < need.processors
                or free.memory_mb < need.memory_mb
                or free.accelerators < need.accelerators
            ):
                continue
            count = self.count_tasks(demand, candidate, now)
            if count == 0:
                continue
            score = self.score_worker(demand, candidate, count)
            if best is None or score < best_score:
                best, best_count, best_score = candidate, count, score
        if best is None:
            return None
        reason = f"score {best_score:.2f}, rack {best.backend.rack}"
        service = best.backend.service
        if service is not None:
            ratio = self._interference.estimate_ratio(
                service, demand.spec.kind
            )
            reason += f", interference {ratio:.2f}"
        return Choice(best, best_count, best_score, reason)

    def score_worker(
        self, demand: Demand, candidate: Candidate, count: int
    ) -> float:
        """Returns the score for placing so many tasks; lower is better."""
        need = demand.spec.resources
        capacity = candidate.record.capacity
        left = 0.0
        kinds = 0
        for free, wanted, total in (
            (candidate.free.processors, need.processors, capacity.processors),
            (candidate.free.memory_mb, need.memory_mb, capacity.memory_mb),
            (
                candidate.free.accelerators,
                need.accelerators,
                capacity.accelerators,
            ),
        ):
            if wanted > 0 and total > 0:
                left += (free - wanted * count) / total
                kinds += 1
        score = _FIT_WEIGHT * left / max(kinds, 1)
        score += _GROUP_WEIGHT * (1 - count / demand.limit)
        if need.accelerators == 0 and capacity.accelerators > 0:
            score += _ACCELERATOR_WEIGHT
        backend = candidate.backend
        if backend.service is not None:
            ratio = self._interference.estimate_ratio(
                backend.service, demand.spec.kind
            )
            score += _INTERFERENCE_WEIGHT * max(ratio - 1.0, 0.0)
        if demand.rack_counts:
            placed = sum(demand.rack_counts.values())
            in_rack = demand.rack_counts.get(
                (backend.data_centre, backend.rack), 0
            )
            score += _RACK_WEIGHT * in_rack / placed
        tie = xxhash.xxh32_intdigest(
            f"{demand.spec.job}/{backend.worker}".encode()
        )
        return score + _TIE_WEIGHT * tie / 2**32

    def choose_victims(
        self,
        demand: Demand,
        candidates: Sequence[Candidate],
        now: datetime.datetime,
    ) -> tuple[Preemption, ...]:
        """Returns the cheapest evictions that let tasks of the demand fit.

        There is at most one task for each worker, and together at most the
        limit of the demand, cheapest first. The cost is the number of
        victims, then how often they were started before (so that the same
        tasks are not evicted again and again), then the resources freed.
        """
        useful = [
            candidate
            for candidate in candidates
            if self._can_preempt(demand, candidate, now)
        ]
        found: list[Preemption] = []
        for size in range(1, _EXACT_VICTIMS + 1):
            left: list[Candidate] = []
            for candidate in useful:
                victims = _choose_exact(demand, candidate, size)
                if victims:
                    found.append(Preemption(candidate, victims))
                else:
                    left.append(candidate)
            if len(found) >= demand.limit:
                break
            useful = left
        else:
            for candidate in useful:
                victims = _choose_greedy(demand, candidate)
                if victims:
                    found.append(Preemption(candidate, victims))
        found.sort(key=_compute_cost)
        return tuple(found[: demand.limit])

    def _can_preempt(
        self, demand: Demand, candidate: Candidate, now: datetime.datetime
    ) -> bool:
        record = candidate.record
        if candidate.backend.worker in demand.excluded:
            return False
        if record.health.probe_at is not None:
            return False
        reservation = record.reservation
        if reservation is not None and now < reservation.until:
            # One preemption at a time on a worker; a second one would count
            # the same freed resources twice.
            return False
        total = record.compute_free()
        if demand.spec.resources.fits_in(total):
            return False
        for commitment in record.commitments:
            if not commitment.urgent:
                total = total + commitment.resources
        return demand.spec.resources.fits_in(total)


def _list_victims(candidate: Candidate) -> list[model.Commitment]:
    return [item for item in candidate.record.commitments if not item.urgent]


def _choose_exact(
    demand: Demand, candidate: Candidate, size: int
) -> tuple[model.Commitment, ...]:
    """Returns the cheapest set of exactly so many victims, or nothing."""
    missing = demand.spec.resources - candidate.record.compute_free()
    best: tuple[model.Commitment, ...] = ()
    best_cost = (0, 0)
    for victims in itertools.combinations(_list_victims(candidate), size):
        processors = memory_mb = accelerators = 0
        for victim in victims:
            processors += victim.resources.processors
            memory_mb += victim.resources.memory_mb
            accelerators += victim.resources.accelerators
        if (
            processors < missing.processors
            or memory_mb < missing.memory_mb
            or accelerators < missing.accelerators
        ):
            continue
        cost = _compute_set_cost(victims)
        if not best or cost < best_cost:
            best, best_cost = victims, cost
    return best


def _choose_greedy(
    demand: Demand, candidate: Candidate
) -> tuple[model.Commitment, ...]:
    need = demand.spec.resources
    total = candidate.record.compute_free()
    chosen: list[model.Commitment] = []
    by_size = sorted(
        _list_victims(candidate),
        key=lambda item: _weigh(item.resources),
        reverse=True,
    )
    for victim in by_size:
        if need.fits_in(total):
            break
        chosen.append(victim)
        total = total + victim.resources
    # Drop victims that larger ones made unnecessary.
    for victim in list(reversed(chosen)):
        if need.fits_in(total - victim.resources):
            chosen.remove(victim)
            total = total - victim.resources
    return tuple(chosen) if need.fits_in(total) else ()


def _weigh(resources: model.Resources) -> int:
    # An accelerator weighs as much as 16 processors; memory as 4 GiB each.
    return (
        resources.processors
        + resources.memory_mb // 4
        + 16000 * resources.accelerators
    )


def _compute_set_cost(
    victims: tuple[model.Commitment, ...],
) -> tuple[int, int]:
    return (
        sum(victim.attempt for victim in victims),
        sum(_weigh(victim.resources) for victim in victims),
    )


def _compute_cost(
    preemption: Preemption,
) -> tuple[int, tuple[int, int], str]:
    victims = preemption.victims
    return (
        len(victims),
        _compute_set_cost(victims),
        preemption.candidate.backend.worker,
    )
