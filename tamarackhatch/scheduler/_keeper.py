"""Runners of a cell: registry, links and the list of tracked runners."""

import asyncio
import datetime

from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch import records
from tamarackhatch.scheduler import _context
from tamarackhatch.scheduler import _dispatcher
from tamarackhatch.scheduler import _fleet
from tamarackhatch.scheduler import _link
from tamarackhatch.scheduler import _orders

_CHECK_INTERVAL = datetime.timedelta(milliseconds=25)


class RunnerKeeper:
    """Follows the registry, and keeps a link to each runner."""

    def __init__(
        self,
        context: _context.SchedulerContext,
        orders: _orders.OrderDesk,
        dispatcher: _dispatcher.Dispatcher,
    ) -> None:
        self._context = context
        self._orders = orders
        self._dispatcher = dispatcher
        self._links: dict[str, _link.RunnerLink] = {}
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._unsettled: set[str] = set()

    def restore_tracked_runners(
        self, tracked_runners: tuple[records.TrackedRunner, ...]
    ) -> None:
        """Asks the runners on which tasks of earlier terms may run.

        Jobs are held back until all of them are settled: those of earlier
        terms, and later ones as well while the scheduler before may not know
        that it is superseded, because it can still read and start them.
        """
        for entry in tracked_runners:
            self._unsettled.add(entry.identifier)
            self._add_runner(_make_runner(entry))
        if self._unsettled:
            term = self._context.leader_lease.term
            self._dispatcher.hold_back(
                term.token if term.is_predecessor_gone else None
            )

    def close(self) -> None:
        """Ends all links."""
        for task in self._link_tasks.values():
            task.cancel()

    def apply_row(self, row: model.Row) -> None:
        """Takes an entry of the registry, or its removal."""
        entry = self._context.fleet.get(row.ref.key)
        if row.is_deleted:
            if entry is not None:
                self._note_unlisted(entry)
            return
        try:
            record = platform.decode_runner(row)
        except platform.BadAnswerError as error:
            self._context.log.debug(
                "runner_unreadable", runner=row.ref.key, reason=error.message
            )
            return
        if entry is None:
            self._context.log.info(
                "runner_seen",
                runner=record.identifier,
                service=record.service,
                cpu=record.capacity.processors,
                memory=record.capacity.memory_mb,
            )
            self._add_runner(record)
            self._write_tracked_runners()
        else:
            self._update_runner(entry, record)

    def forget_unlisted(self, listed: set[str]) -> None:
        """Notes which runners the registry no longer lists."""
        for entry in self._context.fleet.values():
            if entry.identifier not in listed:
                self._note_unlisted(entry)

    async def settle(self, claimed: datetime.timedelta) -> None:
        """Waits until no run of an earlier term can be unknown.

        A runner that has answered refuses older tokens and has listed its
        runs. On one that has not, an earlier scheduler could renew leases as
        long as its leader lease lasted, and they last one lease longer.
        """
        deadline = claimed + self._context.settings.takeover_wait
        while self._unsettled:
            for identifier in list(self._unsettled):
                link = self._links.get(identifier)
                if link is not None and link.has_reported:
                    self._unsettled.discard(identifier)
            if self._context.clock.get_boot_time() > deadline:
                self._context.log.warning(
                    "runners_unsettled", runners=sorted(self._unsettled)
                )
                self._unsettled.clear()
            await self._context.clock.sleep(_CHECK_INTERVAL)
        self._context.log.info("takeover_settled")
        self._dispatcher.let_go()

    def _add_runner(self, record: model.Runner) -> None:
        entry = _fleet.make_entry(record)
        self._context.fleet[record.identifier] = entry
        self._start_link(entry)

    def _start_link(self, entry: _fleet.RunnerEntry) -> None:
        link = _link.RunnerLink(
            self._context, entry, self._orders, self._untrack
        )
        self._links[entry.identifier] = link
        task = asyncio.create_task(link.run())
        self._link_tasks[entry.identifier] = task
        task.add_done_callback(
            lambda done: self._end_link(entry.identifier, done)
        )

    def _end_link(self, identifier: str, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self._context.leader_lease.is_revoked:
            return
        if task.exception() is not None:
            self._context.log.error(
                "link_failed",
                runner=identifier,
                reason=repr(task.exception()),
            )
            self._start_link(self._context.fleet[identifier])
            return
        self._context.log.info("runner_gone", runner=identifier)
        del self._link_tasks[identifier]
        if self._links.pop(identifier).has_reported:
            self._unsettled.discard(identifier)
        del self._context.fleet[identifier]
        self._write_tracked_runners()

    def _update_runner(
        self, entry: _fleet.RunnerEntry, record: model.Runner
    ) -> None:
        if record.is_draining and not entry.record.is_draining:
            self._context.log.info(
                "runner_drains",
                runner=record.identifier,
                remaining=record.remaining,
            )
        if not entry.is_registered:
            self._context.log.info("runner_listed", runner=record.identifier)
        entry.record = record
        entry.is_registered = True
        entry.load.capacity = record.capacity
        entry.load.labels = record.labels
        entry.load.service = record.service
        is_leaving = record.is_draining or entry.missed_renewals > 0
        if entry.is_untracked and (entry.tasks or not is_leaving):
            entry.is_untracked = entry.is_tracked = False
        if not entry.is_tracked and not entry.is_untracked:
            self._write_tracked_runners()

    def _untrack(self, entry: _fleet.RunnerEntry) -> None:
        entry.is_untracked = True
        self._context.log.info("runner_withdrawn", runner=entry.identifier)
        self._write_tracked_runners()

    def _note_unlisted(self, entry: _fleet.RunnerEntry) -> None:
        if entry.is_registered:
            entry.is_registered = False
            self._context.log.info("runner_unlisted", runner=entry.identifier)

    def _write_tracked_runners(self) -> None:
        entries = [
            entry
            for entry in self._context.fleet.values()
            if not entry.is_untracked
        ]
        tracked_runners = tuple(
            records.TrackedRunner(
                entry.identifier,
                entry.record.address,
                entry.record.service,
                entry.incarnation,
            )
            for entry in entries
        )

        def mark_tracked() -> None:
            for entry in entries:
                entry.is_tracked = True
            self._context.wake.set()

        self._context.writer.set_tracked_runners(tracked_runners, mark_tracked)


def _make_runner(entry: records.TrackedRunner) -> model.Runner:
    """Returns a runner that is known from an earlier term only."""
    return model.Runner(
        entry.identifier,
        entry.service,
        entry.address,
        "",
        False,
        model.Resources(),
        incarnation=entry.incarnation,
    )
