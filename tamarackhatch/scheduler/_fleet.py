"""The scheduler's in-memory state of runners."""

import datetime

import attrs

from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch.scheduler import _ack_evidence
from tamarackhatch.scheduler import _command_fence
from tamarackhatch.scheduler import _crash_suspects
from tamarackhatch.scheduler import _life_signs
from tamarackhatch.scheduler import _state
from tamarackhatch.scheduler import _unreported_life

# A runner's monotonic clock may be slower than the scheduler's by this share.
_MAX_CLOCK_DRIFT_SHARE = 0.02
# Covers rounding of the runner's clock to milliseconds, and late timers.
EXPIRY_MARGIN = datetime.timedelta(milliseconds=50)
# A runner that has not answered for this long gets no new tasks. A renewal may
# wait up to 1.5 s for an exit.
MAX_TIME_SINCE_ANSWER = datetime.timedelta(milliseconds=2600)
# A single failure may be a reset connection, after which the next renewal is
# answered.
_CORDON_AFTER_MISSED_RENEWALS = 2
# A report lists 500 exits. A runner with so many that cannot be acknowledged
# gets no new tasks; the rest is left for the runs in progress there.
_MAX_HELD_EXITS = 300


@attrs.define(eq=False)
class RunnerEntry:
    """A runner.

    Attributes:
        record: The runner's latest row in the registry.
        load: Tasks placed on the runner and their resources.
        is_registered: Whether the registry currently lists the runner.
        is_restored: Whether an earlier scheduler tracked it.
        is_capacity_known: Whether the registry has listed it in this term.
        is_tracked: Whether the durable list of tracked runners names it.
        unlisted_tasks: Tasks that an earlier scheduler may have started here
            and that no report has listed yet; None if any task may be one.
        listed: Runs that its last report lists.
        is_cordoned: Whether the durable list of cordoned runners may name it.
            It gets no tasks then, so a later scheduler knows all that may run
            here even if it never answers again.
        is_untracked: Whether it is to be removed from the list of tracked
            runners. It gets no tasks, so no later scheduler has to ask it.
        incarnation: Incarnation that last answered, in Unix ms; 0 before the
            first answer.
        tasks: Tasks that run or may run on the runner.
        suspects: Those of them that may have crashed a runner before.
        lease_end: Latest lease end that any command has carried, on the
            runner's clock.
        fence: Chooses the fencing tokens of the commands sent to it.
        clock: Reading of the runner's clock in its last answer.
        clock_read: Monotonic time at which that answer arrived; None before
            the first answer.
        processed_exit: Number of the last exit that was processed.
        acknowledged_exit: Number of the last exit that is durable.
        ack_evidence: What shows which exits it has forgotten.
        pending_acks: Exits that are not durable yet, by number and in their
            order.
        has_held_exit: Whether the first of them is durable, and must not be
            acknowledged yet because its task may still be started.
        unread_exits: Exits of jobs that may be stored and not be read yet, by
            number, with the time at which the runner first listed them.
        unread_running: The same for runs in progress, by task.
        has_unknown_runs: Whether the runner listed runs whose reservations are
            not known.
        missed_renewals: Renewals in a row without an answer.
        capacity_refusals: Starts in a row that the runner refused because the
            task does not fit; those of one pause count once.
        lost_contact_at: Earliest monotonic time at which the runner may have
            stopped answering; None while it answers.
        unreported_life: What a later incarnation may hold that has answered
            a start, and has not reported yet.
        life_signs: What shows that it is alive while it does not answer.
        evidence: Evidence that it has crashed, while it does not answer.
        supposed_crashes: Runs, with their tasks, that are recorded as ended
            by a crash because the runner does not answer. None of them counts
            if the same incarnation answers again.
        restarted_at: Monotonic time at which a report first showed its latest
            restart; None if it has not restarted in this term.
        answering_again_at: Monotonic time at which it answered again after
            renewals without an answer; None if it always answered.
        avoid_until: Monotonic time until which it gets no new tasks.
        exclusive_from: Monotonic time from which no earlier scheduler receives
            exits from it; None before its first answer in this term.
        leaves_at: Earliest monotonic time at which it may leave; None unless
            it drains.
    """

    record: model.Runner
    load: placement.RunnerLoad
    is_registered: bool = True
    is_restored: bool = False
    is_capacity_known: bool = True
    is_tracked: bool = False
    unlisted_tasks: frozenset[model.TaskKey] | None = frozenset()
    listed: tuple[model.RunningTask, ...] = ()
    is_cordoned: bool = False
    is_untracked: bool = False
    incarnation: int = 0
    tasks: dict[model.TaskKey, _state.TaskEntry] = attrs.field(factory=dict)
    suspects: dict[model.TaskKey, _state.TaskEntry] = attrs.field(factory=dict)
    lease_end: datetime.timedelta = datetime.timedelta()
    fence: _command_fence.CommandFence = attrs.field(
        factory=_command_fence.CommandFence
    )
    clock: datetime.timedelta = datetime.timedelta()
    clock_read: datetime.timedelta | None = None
    processed_exit: int = 0
    acknowledged_exit: int = 0
    ack_evidence: _ack_evidence.AckEvidence = attrs.field(
        factory=_ack_evidence.AckEvidence
    )
    pending_acks: dict[int, _state.PendingAck] = attrs.field(factory=dict)
    has_held_exit: bool = False
    unread_exits: dict[int, tuple[model.RunExit, datetime.timedelta]] = (
        attrs.field(factory=dict)
    )
    unread_running: dict[
        model.TaskKey, tuple[model.RunningTask, datetime.timedelta]
    ] = attrs.field(factory=dict)
    has_unknown_runs: bool = False
    missed_renewals: int = 0
    capacity_refusals: int = 0
    lost_contact_at: datetime.timedelta | None = None
    life_signs: _life_signs.LifeSigns = attrs.field(
        factory=_life_signs.LifeSigns
    )
    unreported_life: _unreported_life.UnreportedLife = attrs.field(
        factory=_unreported_life.UnreportedLife
    )
    evidence: _crash_suspects.Evidence = _crash_suspects.Evidence.SILENT
    supposed_crashes: list[tuple[_state.TaskEntry, int]] = attrs.field(
        factory=list
    )
    restarted_at: datetime.timedelta | None = None
    answering_again_at: datetime.timedelta | None = None
    avoid_until: datetime.timedelta = datetime.timedelta()
    exclusive_from: datetime.timedelta | None = None
    leaves_at: datetime.timedelta | None = None

    @property
    def identifier(self) -> str:
        """Identifier of the runner."""
        return self.record.identifier

    def update_record(
        self, record: model.Runner, written_at: datetime.timedelta
    ) -> None:
        """Applies a row of the registry.

        Args:
            record: The row.
            written_at: Earliest monotonic time at which it was written.
        """
        self.record = record
        self.leaves_at = None
        if record.remaining is not None:
            self.leaves_at = written_at + record.remaining
        if record.incarnation and record.incarnation == self.incarnation:
            self.life_signs.record_row(record, written_at, self.lease_end)

    def assign_task(self, task: _state.TaskEntry) -> None:
        """Reserves capacity for a task that may run on this runner."""
        if _crash_suspects.is_suspect(task):
            self.suspects[task.key] = task
        self.tasks[task.key] = task
        task.runner = self
        self.load.add_task(task.key, task.step)

    def record_running_task(
        self, task: _state.TaskEntry, now: datetime.timedelta
    ) -> None:
        """Records that a task is known to run on this runner."""
        if task.step.is_best_effort:
            self.load.best_effort_usage.add_task(
                task.key, task.step.image, task.step.resources.processors, now
            )

    def release_task(
        self, task: _state.TaskEntry, now: datetime.timedelta
    ) -> None:
        """Releases the capacity of a task that can no longer run here."""
        if self.tasks.pop(task.key, None) is None:
            return
        self.suspects.pop(task.key, None)
        task.runner = None
        self.load.remove_task(task.key, task.step)
        self.load.best_effort_usage.remove_task(task.key, now)

    def names_other_incarnation(self, record: model.Runner) -> bool:
        """Returns whether a registry row is not of the one that answered."""
        return (
            bool(record.incarnation and self.incarnation)
            and record.incarnation != self.incarnation
        )

    @property
    def _is_record_current(self) -> bool:
        """Whether the registry row is of the incarnation that answered last.

        A runner that restarted under its identifier may have another capacity.
        """
        return not self.names_other_incarnation(self.record)

    @property
    def acknowledgeable_exit(self) -> int:
        """Number of the exit up to which a renewal has to acknowledge exits.

        0 if there is none, or if the runner may have restarted since its last
        answer: a new incarnation numbers its exits anew, and would discard
        them unread.
        """
        if self.missed_renewals or not self._is_record_current:
            return 0
        if self.acknowledged_exit <= self.ack_evidence.forgotten_exit:
            return 0
        return self.acknowledged_exit

    @property
    def is_to_be_tracked(self) -> bool:
        """Whether the list of tracked runners is to name it.

        A runner that has never answered has got neither a lease nor a task,
        and may not exist.
        """
        return not self.is_untracked and (
            self.is_restored or self.clock_read is not None
        )

    @property
    def is_replaced(self) -> bool:
        """Whether another runner answers at its address.

        None of its runs exists any more, and no late command can start one.
        """
        return self.evidence is _crash_suspects.Evidence.ENDED

    def is_isolated(self, now: datetime.timedelta) -> bool:
        """Returns whether a suspect of crashes is observed on this runner.

        No other task may start here meanwhile, so that a crash of the runner
        has one possible cause.
        """
        return any(
            _crash_suspects.is_observed(task, now)
            for task in self.suspects.values()
        )

    def has_starting_run(self, now: datetime.timedelta) -> bool:
        """Returns whether a run started here so recently that it may crash."""
        return any(
            not _crash_suspects.is_settled(task, now)
            for task in self.tasks.values()
        )

    @property
    def is_idle(self) -> bool:
        """Whether nothing can run here and all exits are durable.

        A run of a job that is not read yet, or one that is being stopped as
        an orphan, belongs to no task here.
        """
        return not (self.tasks or self.pending_acks or self.listed)

    def record_clock(
        self,
        reading: datetime.timedelta,
        sent: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Records a reading of the runner's clock.

        Args:
            reading: The reading.
            sent: Monotonic time at which the renewal was sent.
            now: Monotonic time at which its answer arrived.
        """
        self.clock, self.clock_read = reading, now
        self.ack_evidence.record_report(sent)

    def compute_lease_end(
        self, now: datetime.timedelta, lease: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Computes and records the end of a lease granted now.

        Any command that carries the result may be carried out. A runner that
        does not answer gets no new lease: otherwise its lease would never be
        known to have expired, nor its runs to have ended.

        Args:
            now: Monotonic time.
            lease: Duration of the lease.

        Returns:
            The lease end on the runner's clock; None if no lease is granted.
        """
        if self.clock_read is None or self.missed_renewals:
            return None
        lease_end = self.clock + (now - self.clock_read) + lease
        self.lease_end = max(self.lease_end, lease_end)
        return lease_end

    def is_lease_expired(
        self, now: datetime.timedelta, kill_time: datetime.timedelta
    ) -> bool:
        """Returns whether every lease has expired and its runs are killed.

        Allows for clock drift, so that an unexpired lease never counts as
        expired.

        Args:
            now: Monotonic time.
            kill_time: Longest time that the runner takes to kill its runs
                after the end of their lease.
        """
        return self.has_clock_passed(self.lease_end + kill_time, now)

    def has_clock_passed(
        self, reading: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        """Returns whether the runner's clock is certainly past a reading."""
        if self.clock_read is None:
            return False
        return self.estimate_clock(now) > reading + EXPIRY_MARGIN

    def estimate_clock(self, time: datetime.timedelta) -> datetime.timedelta:
        """Returns the least reading of the runner's clock since its answer.

        Must only be called once the runner has answered.

        Args:
            time: Monotonic time after its latest answer.
        """
        assert self.clock_read is not None
        elapsed = (time - self.clock_read) * (1 - _MAX_CLOCK_DRIFT_SHARE)
        return self.clock + elapsed

    def record_first_answer(self, exclusive_from: datetime.timedelta) -> None:
        """Records the first report in this term.

        Args:
            exclusive_from: Monotonic time until which it may still answer a
                renewal of an earlier scheduler that it had accepted before.
        """
        self.exclusive_from = exclusive_from

    def record_replacement(self) -> None:
        """Records that another runner answers, so that no run exists here."""
        self.evidence = _crash_suspects.Evidence.ENDED
        self.unlisted_tasks = frozenset()
        self.listed = ()

    def forget_earlier_incarnation(self) -> None:
        """Forgets what an earlier incarnation has reported.

        Commands that were meant for it may still reach this one.
        """
        self.fence.require_higher_token()
        self.life_signs = _life_signs.LifeSigns()
        self.supposed_crashes.clear()
        self.processed_exit = self.acknowledged_exit = 0
        self.ack_evidence = _ack_evidence.AckEvidence()
        self.pending_acks.clear()
        self.has_held_exit = False
        self.unread_exits.clear()
        self.unread_running.clear()

    def record_lease_end(self) -> None:
        """Records that all runs here have ended with the lease."""
        self.listed = ()
        self.unread_running.clear()

    def reports_exclusively(self, now: datetime.timedelta) -> bool:
        """Returns whether no earlier scheduler receives exits reported now."""
        return self.exclusive_from is not None and now >= self.exclusive_from

    def is_answering(self, now: datetime.timedelta) -> bool:
        """Returns whether the runner's latest answer is recent."""
        return (
            not self.missed_renewals
            and self.clock_read is not None
            and now - self.clock_read < MAX_TIME_SINCE_ANSWER
        )

    @property
    def should_be_cordoned(self) -> bool:
        """Whether it can get no tasks soon, and all its runs are known."""
        if not self.is_to_be_tracked or self.unlisted_tasks is None:
            return False
        return (
            not self.is_registered
            or self.record.is_draining
            or self.missed_renewals >= _CORDON_AFTER_MISSED_RENEWALS
            or (self.is_restored and self.clock_read is None)
        )

    def list_possible_tasks(self) -> tuple[model.TaskKey, ...]:
        """Returns the tasks that may run here; only if all are known."""
        tasks = {item.task for item in self.listed}
        tasks.update(self.tasks, self.unlisted_tasks or ())
        # A successor that does not know of an exit must not start its task
        # before it has read the exit.
        tasks.update(pending.task for pending in self.pending_acks.values())
        return tuple(sorted(tasks, key=str))

    def is_schedulable(self, now: datetime.timedelta) -> bool:
        """Returns whether new tasks may be placed on the runner."""
        # Every pass asks all runners, so that this makes few calls.
        record = self.record
        return (
            self.is_registered
            and self.is_capacity_known
            and not self.has_unknown_runs
            and self.missed_renewals == 0
            and not record.is_draining
            and self.is_tracked
            and not self.is_untracked
            and not self.is_cordoned
            and self.unreported_life.found_at is None
            and self.clock_read is not None
            and now - self.clock_read < MAX_TIME_SINCE_ANSWER
            and now >= self.avoid_until
            and (
                record.incarnation == self.incarnation
                or self._is_record_current
            )
            and not (self.has_held_exit and self.has_long_exit_list)
        )

    @property
    def has_long_exit_list(self) -> bool:
        """Whether exits of further runs might not fit into its reports."""
        return self.has_held_exit and len(self.pending_acks) >= _MAX_HELD_EXITS


def make_runner_entry(record: model.Runner) -> RunnerEntry:
    """Returns an entry without tasks for a runner."""
    return RunnerEntry(
        record,
        placement.RunnerLoad(
            record.identifier, record.service, record.capacity, record.labels
        ),
    )
