"""Finds the runners of a rack, and the rack for tasks that stay together."""

import collections

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _state

# Racks on which a gang is tried in one pass, because each try costs a search.
_MAX_RACKS = 3

Candidates = list[placement.CandidateRunner]


class RackFinder:
    """Finds candidates by rack in one placement pass."""

    def __init__(self, policy: placement.PlacementPolicy) -> None:
        self._policy = policy
        self._candidates: dict[str, Candidates] = {}
        # By service and label, with the number of candidates: some are taken
        # out of their list during a pass.
        self._labelled: dict[str, tuple[int, dict[str, Candidates]]] = {}

    def begin_pass(self, candidates: dict[str, Candidates]) -> None:
        """Begins a placement pass over runners, by service."""
        self._candidates = candidates
        self._labelled.clear()

    def list_near(
        self, task: _state.TaskEntry, rack: str, candidates: Candidates
    ) -> Candidates:
        """Returns the candidates on a rack that are worth preferring.

        Args:
            task: A task that prefers the rack.
            rack: The rack; empty for none.
            candidates: Runners on which the task may start now.
        """
        if not rack:
            return []
        service = task.job.job.queue.service
        if candidates is self._candidates.get(service):
            found = self._list_labelled(service, candidates, rack)
        else:
            found = [
                candidate
                for candidate in candidates
                if rack in candidate.load.labels
            ]
        return [
            candidate
            for candidate in found
            if placement.is_sound(candidate, self._policy)
        ]

    def find_group_rack(
        self, tasks: list[_state.TaskEntry], candidates: Candidates
    ) -> tuple[str, bool]:
        """Returns the rack for a rack-sensitive step.

        That is the one where most of its tasks run, or else the one with the
        least room that suffices. Also returns whether the step is spread over
        racks, so that nothing is gained any more.
        """
        racks = collections.Counter(
            other.runner.load.rack
            for other in tasks[0].siblings
            if other.runner is not None
        )
        if racks:
            return racks.most_common(1)[0][0], len(racks) > 1
        if tasks[0].near_wait is not None:
            return tasks[0].near_wait.rack, False
        places = count_places(candidates, tasks[0].step)
        found = _order_racks(places, len(tasks))
        return (found[0] if found else ""), False

    def _list_labelled(
        self, service: str, candidates: Candidates, label: str
    ) -> Candidates:
        size, by_label = self._labelled.get(service, (-1, {}))
        if size != len(candidates):
            by_label = {}
            for candidate in candidates:
                for name in candidate.load.labels:
                    by_label.setdefault(name, []).append(candidate)
            self._labelled[service] = (len(candidates), by_label)
        return by_label.get(label, [])


def count_places(
    candidates: Candidates, step: model.Step
) -> collections.Counter[str]:
    """Returns how many tasks of a step have capacity now, by rack."""
    places: collections.Counter[str] = collections.Counter()
    for candidate in candidates:
        places[candidate.load.rack] += placement.count_places(candidate, step)
    return places


def list_gang_racks(
    members: list[_state.TaskEntry], places: collections.Counter[str]
) -> list[str]:
    """Returns the racks to try for a gang, the best first.

    Args:
        members: The gang.
        places: How many of them have capacity now, by rack.
    """
    step, wait = members[0].step, members[0].near_wait
    racks = [step.preferred_rack] if step.preferred_rack else []
    if wait is not None:
        racks.append(wait.rack)
    if step.is_rack_sensitive:
        racks += _order_racks(places, len(members))[:_MAX_RACKS]
    return list(dict.fromkeys(racks))


def _order_racks(places: collections.Counter[str], count: int) -> list[str]:
    """Returns the named racks, those with the least sufficient room first.

    Those with too little room follow, the roomiest first.
    """
    return sorted(
        (rack for rack in places if rack),
        key=lambda rack: (
            places[rack] < count,
            places[rack] if places[rack] >= count else -places[rack],
            rack,
        ),
    )
