"""Tests of PlacementPolicy against a naive exhaustive version."""

import datetime
import itertools

import hypothesis
from hypothesis import strategies

from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import placement

NOW = clock.ManualClock().get_utc()
AMOUNTS = strategies.builds(
    model.Resources,
    strategies.integers(0, 4),
    strategies.integers(0, 4),
    strategies.integers(0, 2),
)
COMMITMENTS = strategies.builds(
    model.Commitment,
    strategies.builds(
        model.TaskId, strategies.sampled_from("xyz"), strategies.integers(0, 9)
    ),
    strategies.integers(1, 3),
    strategies.just("t"),
    strategies.just("k"),
    strategies.booleans(),
    AMOUNTS,
)


def build_candidate(
    index: int,
    capacity: model.Resources,
    commitments: list[model.Commitment],
    reserved_for: str | None,
    probe: int | None,
    service: str | None,
) -> placement.Candidate:
    reservation = None
    if reserved_for is not None:
        until = NOW + datetime.timedelta(seconds=5)
        held = model.Resources(1, 1, 0)
        reservation = model.Reservation(reserved_for, held, (), until)
    health = model.WorkerHealth()
    if probe is not None:
        at = NOW + datetime.timedelta(seconds=probe)
        health = model.WorkerHealth(("a", "b", "c"), at)
    record = model.WorkerRecord(
        f"w{index}", capacity, tuple(commitments), health, reservation
    )
    backend = model.BackendServer(
        f"w{index}",
        model.ServerState.LIVE,
        "dc",
        f"r{index % 2}",
        capacity,
        f"w{index}",
        service=service,
    )
    return placement.Candidate(backend, record, record.compute_free())


CANDIDATES = strategies.lists(
    strategies.tuples(
        AMOUNTS,
        strategies.lists(COMMITMENTS, max_size=4),
        strategies.sampled_from([None, None, "mine", "other"]),
        strategies.sampled_from([None, None, None, -1, 1]),
        strategies.sampled_from([None, "query"]),
    ),
    max_size=5,
).map(
    lambda items: [
        build_candidate(index, *item) for index, item in enumerate(items)
    ]
)
DEMANDS = strategies.builds(
    lambda need, limit, excluded: placement.Demand(
        model.JobSpec(
            "mine", "t", "k", 9, need, "", True, NOW, datetime.timedelta()
        ),
        limit,
        frozenset(excluded),
        {("dc", "r0"): 2},
    ),
    AMOUNTS.filter(lambda need: need != model.Resources()),
    strategies.integers(1, 4),
    strategies.sets(strategies.sampled_from(["w0", "w1", "w2"]), max_size=1),
)


def count_naively(
    demand: placement.Demand, candidate: placement.Candidate
) -> int:
    """Adds one task after the other for as long as the rules allow it."""
    record = candidate.record
    left = record.capacity
    for item in record.commitments:
        left = left - item.resources
    if record.reservation and record.reservation.job != demand.spec.job:
        left = left - record.reservation.resources
    most = demand.limit
    if record.worker in demand.excluded:
        most = 0
    probe_at = record.health.probe_at
    if probe_at is not None:
        is_probe = NOW >= probe_at and not record.commitments
        most = min(most, 1 if is_probe else 0)
    count = 0
    while count < most and demand.spec.resources.fits_in(left):
        left = left - demand.spec.resources
        count += 1
    return count


def list_naive_victims(
    demand: placement.Demand, candidate: placement.Candidate
) -> list[tuple[model.Commitment, ...]]:
    """Returns every set of batch tasks whose eviction makes room."""
    record = candidate.record
    if record.worker in demand.excluded or record.health.probe_at:
        return []
    if record.reservation:
        return []
    victims = [item for item in record.commitments if not item.urgent]
    found = []
    for size in range(len(victims) + 1):
        for chosen in itertools.combinations(victims, size):
            free = record.compute_free()
            for item in chosen:
                free = free + item.resources
            if demand.spec.resources.fits_in(free):
                found.append(chosen)
    return [] if () in found else found


@hypothesis.given(DEMANDS, CANDIDATES)
def test_choice_equals_exhaustive_search(
    demand: placement.Demand, candidates: list[placement.Candidate]
) -> None:
    """Guards against early checks that drop a worker or accept a wrong one."""
    model_of = placement.InterferenceModel(clock.ManualClock())
    for kinds, milliseconds in (({"k"}, 90), (set[str](), 30)) * 3:
        p99 = datetime.timedelta(milliseconds=milliseconds)
        model_of.observe("query", kinds, p99)
    policy = placement.PlacementPolicy(model_of)
    fitting = [
        (policy.score_worker(demand, item, count), item.backend.worker, count)
        for item in candidates
        for count in [count_naively(demand, item)]
        if count
    ]
    choice = policy.choose_worker(demand, candidates, NOW)
    if choice is None:
        assert not fitting
    else:
        found = (choice.score, choice.candidate.backend.worker, choice.count)
        assert found == min(fitting)


@hypothesis.given(DEMANDS, CANDIDATES)
def test_victims_equal_exhaustive_search(
    demand: placement.Demand, candidates: list[placement.Candidate]
) -> None:
    """Guards against evictions that are needless, too many or not enough."""
    policy = placement.PlacementPolicy(
        placement.InterferenceModel(clock.ManualClock())
    )
    found = policy.choose_victims(demand, candidates, NOW)
    naive = {
        item.backend.worker: sets
        for item in candidates
        for sets in [list_naive_victims(demand, item)]
        if sets
    }
    assert len(found) == min(len(naive), demand.limit)
    assert len({item.candidate.backend.worker for item in found}) == len(found)
    for item in found:
        assert item.victims in [
            tuple(chosen) for chosen in naive[item.candidate.backend.worker]
        ]
    if found:
        smallest = min(
            len(chosen) for sets in naive.values() for chosen in sets
        )
        if smallest <= 2:
            assert len(found[0].victims) == smallest
