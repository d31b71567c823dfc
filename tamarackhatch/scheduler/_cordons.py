"""Durable list of the runners on which this scheduler starts nothing more."""

from collections.abc import Mapping

from tamarackhatch import model
from tamarackhatch import records
from tamarackhatch.scheduler import _fleet

_Runners = tuple[records.CordonedRunner, ...]


class CordonList:
    """Keeps the stored list of cordoned runners up to date.

    A runner that drains or does not answer is cordoned: it gets no task until
    a list without it is durable. If this scheduler ends, its successor need
    not ask the runner: only the listed tasks may run there.
    """

    def __init__(self, fleet: Mapping[str, _fleet.RunnerEntry]) -> None:
        """Creates an empty list.

        Args:
            fleet: All runners, by identifier.
        """
        self._fleet = fleet
        self._is_enabled = False
        self._is_requested = False
        self._written: _Runners | None = None
        self._stored: _Runners | None = None

    @property
    def is_due(self) -> bool:
        """Whether a write was requested."""
        return self._is_requested

    def enable(self) -> None:
        """Allows writes, once the runners of earlier terms are in the fleet.

        Until then the stored list of the previous scheduler must stay.
        """
        self._is_enabled = True

    def request_write(self) -> None:
        """Requests a write, because a cordoned runner can get tasks again."""
        self._is_requested = True

    def prepare_write(
        self, includes_exits: bool, has_tracked_runners: bool
    ) -> model.Put | None:
        """Cordons runners and returns the row to write; None if unchanged.

        Args:
            includes_exits: Whether the row is worth writing if tasks have only
                ended on runners that are cordoned already.
            has_tracked_runners: Whether the transaction also writes the list
                of tracked runners. The stored list counts only if it is not
                older than that one.
        """
        self._is_requested = False
        self._written = None
        if not self._is_enabled:
            return None
        found = []
        for entry in self._fleet.values():
            if entry.should_be_cordoned:
                entry.is_cordoned = True
                found.append(
                    records.CordonedRunner(
                        entry.identifier, entry.list_possible_tasks()
                    )
                )
        runners = tuple(found)
        if not has_tracked_runners:
            if runners == self._stored:
                self._uncordon(runners)
                return None
            if not includes_exits and self._covers(runners):
                return None
        # Without an answer, either list may be the stored one.
        self._stored = None
        self._written = runners
        return model.Put(records.CORDONS, records.encode_cordons(runners))

    def record_commit(self) -> None:
        """Records that the prepared row is durable."""
        if self._written is not None:
            self._stored = self._written
            self._uncordon(self._written)

    def _covers(self, runners: _Runners) -> bool:
        """Returns whether the stored list names the same runners or tasks."""
        if self._stored is None:
            return False
        stored = {item.identifier: item.tasks for item in self._stored}
        found = {item.identifier: item.tasks for item in runners}
        return stored.keys() == found.keys() and all(
            set(tasks) <= set(stored[identifier])
            for identifier, tasks in found.items()
        )

    def _uncordon(self, runners: _Runners) -> None:
        listed = {item.identifier for item in runners}
        for entry in self._fleet.values():
            if entry.is_cordoned and entry.identifier not in listed:
                entry.is_cordoned = False
