"""The owner's work on one worker."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import datetime
import enum
import typing

from absl import logging
import attrs

from tamarackhatch import clock
from tamarackhatch import declarations
from tamarackhatch import errors
from tamarackhatch import membership
from tamarackhatch import model
from tamarackhatch import placement
from tamarackhatch import platform
from tamarackhatch.tasks import _attempts
from tamarackhatch.tasks import _latency
from tamarackhatch.tasks import _leases
from tamarackhatch.tasks import _settler
from tamarackhatch.tasks import _throttle

LIST_INTERVAL = datetime.timedelta(seconds=2)
# 2,000 workers polled every 5 s take 400 of about 2,000 reads/s. Notices
# of dispatchers bring changes sooner.
ROW_INTERVAL = datetime.timedelta(seconds=5)
RETRY_INTERVAL = datetime.timedelta(seconds=1)
CALL_LIMIT = datetime.timedelta(seconds=3)
# An urgent task waits for its victims and must start within 6.3 s.
PREEMPT_CHECKPOINT_LIMIT = datetime.timedelta(seconds=2)
CHECKPOINT_LIMIT = datetime.timedelta(seconds=60)
# A worker is given up after this silence at the earliest, even when no lease
# may still run on it.
SILENT_AFTER = datetime.timedelta(seconds=10)
# Orders to start an attempt that the worker may refuse or leave unanswered.
_MAX_REFUSALS = 3

_T = typing.TypeVar("_T")
_Error = (
    platform.WorkerUnavailableError,
    platform.WorkerOutcomeUnknownError,
)


class _Cause(enum.Enum):
    """Why an attempt must leave its worker."""

    STOPPING = "stopping"
    PREEMPTED = "preempted"
    MOVED = "moved"
    INTERFERENCE = "interference"


@attrs.frozen
class _Leave:
    cause: _Cause
    reason: str


class _Eviction:
    """One task being stopped."""

    def __init__(self) -> None:
        self.is_stopping = False
        self.task: asyncio.Task[None] | None = None


class WorkerTask:
    """Runs the committed attempts of one worker during one epoch."""

    def __init__(
        self,
        worker: str,
        epoch: int,
        tables: platform.TableService,
        client: platform.WorkerClient,
        instances: platform.InstanceView,
        ownership: membership.OwnershipView,
        configuration: declarations.ConfigurationView,
        time: clock.Clock,
        latency: _latency.LatencySource,
        interference: placement.InterferenceModel,
        cache: placement.WorkerCache,
        settler: _settler.Settler,
        is_stopping_job: Callable[[str], bool],
        longest_lease: datetime.timedelta,
    ) -> None:
        self._worker = worker
        self._epoch = epoch
        self._tables = tables
        self._client = client
        self._instances = instances
        self._ownership = ownership
        self._configuration = configuration
        self._clock = time
        self._latency = latency
        self._interference = interference
        self._cache = cache
        self._settler = settler
        self._is_stopping_job = is_stopping_job
        now = time.get_monotonic()
        # A clean release drains requests, but tasks run on under leases of
        # the previous owner; so one lease length counts in that case too.
        # Counting from now covers the claim, which was earlier, and leases
        # given by an earlier task of this epoch that ended on an error.
        self._leases = _leases.LeaseBook(now + longest_lease)
        self._address: str | None = None
        self._reports: dict[_attempts.AttemptKey, platform.ReportedTask] = {}
        self._ends: dict[_attempts.AttemptKey, _attempts.Ended] = {}
        self._evictions: dict[_attempts.AttemptKey, _Eviction] = {}
        self._refusals: dict[_attempts.AttemptKey, int] = {}
        self._confirmed: set[_attempts.AttemptKey] = set()
        self._known: placement.KnownWorker | None = None
        self._silent_since: datetime.timedelta | None = now
        self._refusal = ""
        self._orphans: set[_attempts.AttemptKey] = set()
        self._controller = _throttle.ThrottleController()
        self._has_list = False
        self._is_adopted = False
        self._is_noted = True
        self._list_at = now
        self._row_at = now
        self._renew_at = now
        self._usage_at = now
        self._listed_at: datetime.timedelta | None = None
        self._row_read_at: datetime.timedelta | None = None
        self._wake = asyncio.Event()

    @property
    def epoch(self) -> int:
        """Epoch of the ownership that this task works under."""
        return self._epoch

    def note_work(self) -> None:
        """Makes the worker's row be read at once."""
        self._is_noted = True
        self._wake.set()

    async def run(self) -> None:
        """Works until the ownership ends or the task is cancelled."""
        try:
            while self._is_owner():
                try:
                    await self.run_pass()
                except errors.CodedError as error:
                    logging.warning("tasks: %s: %s", self._worker, error)
                    self._list_at = max(
                        self._list_at,
                        self._clock.get_monotonic() + RETRY_INTERVAL,
                    )
                await self._wait()
        finally:
            for eviction in self._evictions.values():
                if eviction.task is not None:
                    eviction.task.cancel()

    async def run_pass(self) -> None:
        """Does once what is due."""
        now = self._clock.get_monotonic()
        backend = self._instances.get_backend(self._worker)
        if backend is not None and backend.worker_address is not None:
            self._address = backend.worker_address
        if self._has_list and now >= self._renew_at:
            await self._renew_leases()
        if now >= self._list_at:
            await self._list_tasks()
        if self._is_noted or now >= self._row_at:
            await self._read_record()
        await self._reconcile()
        if self._has_list and self._clock.get_monotonic() >= self._renew_at:
            await self._renew_leases()
        if now >= self._usage_at:
            await self._relieve_runner()

    def _is_owner(self) -> bool:
        try:
            return self._ownership.get_epoch(self._worker) == self._epoch
        except KeyError:
            return False

    async def _wait(self) -> None:
        now = self._clock.get_monotonic()
        due = min(self._list_at, self._row_at, self._usage_at)
        if self._has_list:
            due = min(due, self._renew_at)
        pause = max(due - now, datetime.timedelta(milliseconds=50))
        if self._wake.is_set():
            pause = datetime.timedelta()
        if pause:
            await placement.wait_event(self._clock, self._wake, pause)
        self._wake.clear()

    async def _call(
        self,
        call: Coroutine[typing.Any, typing.Any, _T],
        limit: datetime.timedelta = CALL_LIMIT,
    ) -> _T:
        try:
            return await placement.call_within(self._clock, limit, call)
        except placement.TimeLimitError as error:
            raise platform.WorkerOutcomeUnknownError(str(error)) from error

    def _get_record(self) -> model.WorkerRecord | None:
        """Returns the newest row known.

        The cache drops rows that must be read again; the last one read
        stays in use here, or all running attempts would look uncommitted.
        """
        known = self._cache.get_worker(self._worker)
        if known is not None and (
            self._known is None or known.version >= self._known.version
        ):
            self._known = known
        return self._known.record if self._known else None

    def _note_silence(self) -> None:
        self._has_list = False
        if self._silent_since is None:
            self._silent_since = self._clock.get_monotonic()

    async def _list_tasks(self) -> None:
        now = self._clock.get_monotonic()
        self._list_at = now + LIST_INTERVAL
        if self._address is None:
            self._note_silence()
            return
        try:
            found = await self._call(
                self._client.list_tasks(self._address, self._epoch)
            )
        except _Error as error:
            # Leases are not renewed before the worker is heard again, so
            # that the wait for a silent worker comes to an end.
            if self._has_list:
                logging.warning("tasks: %s is silent: %s", self._worker, error)
            self._note_silence()
            return
        except platform.WorkerRefusedError as error:
            # It saw a higher epoch, so another instance owns it now.
            logging.warning("tasks: %s refused: %s", self._worker, error)
            self._has_list = False
            self._silent_since = None
            return
        self._reports = {
            _attempts.AttemptKey(item.task, item.attempt): item
            for item in found
        }
        self._confirmed |= set(self._reports)
        self._has_list = True
        self._silent_since = None
        self._listed_at = now

    async def _read_record(self) -> None:
        self._is_noted = False
        now = self._clock.get_monotonic()
        self._row_at = now + RETRY_INTERVAL
        try:
            row = await self._tables.read_row(
                platform.Table.WORKERS, self._worker
            )
        except platform.StoreUnavailableError as error:
            logging.warning(
                "tasks: row of %s is not readable: %s", self._worker, error
            )
            return
        self._row_at = now + ROW_INTERVAL
        self._row_read_at = now
        if row is not None:
            self._cache.note_row(row)

    async def _reconcile(self) -> None:
        """Compares commitments with reports and acts on each difference."""
        if self._row_read_at is None:
            return
        record = self._get_record()
        if record is None:
            record = model.WorkerRecord(self._worker, model.Resources())
        committed = {
            _attempts.AttemptKey(item.task, item.attempt): item
            for item in record.commitments
        }
        overflow = self._find_overflow(record)
        self._forget_settled(committed)
        await self._stop_orphans(committed)
        if not self._is_adopted and self._has_list:
            self._adopt(committed)
        ordered = sorted(
            committed.items(), key=lambda item: not item[1].urgent
        )
        may_start = True
        for key, commitment in ordered:
            if self._settler.has_ended(self._worker, key):
                continue
            if key in self._ends:
                self._settler.add_end(self._ends[key])
                continue
            if key in self._evictions:
                continue
            report = self._reports.get(key)
            if report is not None and (
                report.state is not platform.ReportedState.RUNNING
            ):
                self._end_reported(key, report, "")
                continue
            leave = self._find_leave_reason(key, overflow, record)
            if report is not None and self._has_list:
                if leave is not None:
                    self._start_eviction(key, leave)
                continue
            if (
                self._has_list
                and leave is None
                and key not in self._confirmed
                and self._refusals.get(key, 0) < _MAX_REFUSALS
            ):
                if may_start:
                    may_start = await self._start_attempt(key, commitment)
                continue
            self._give_up(key, leave)

    def _forget_settled(
        self, committed: dict[_attempts.AttemptKey, model.Commitment]
    ) -> None:
        for key in [key for key in self._ends if key not in committed]:
            del self._ends[key]
        for key in self._leases.list_attempts():
            if key not in committed and key not in self._reports:
                self._leases.drop_attempt(key)
        for key in [key for key in self._refusals if key not in committed]:
            del self._refusals[key]
        self._confirmed &= set(committed) | set(self._reports)

    def _adopt(
        self, committed: dict[_attempts.AttemptKey, model.Commitment]
    ) -> None:
        self._is_adopted = True
        now = self._clock.get_monotonic()
        count = 0
        for key, report in self._reports.items():
            if report.state is platform.ReportedState.RUNNING:
                if key in committed:
                    count += 1
                    self._controller.adopt_task(key, now)
        logging.info(
            "tasks: %s adopted in epoch %d with %d running of %d committed"
            " attempts, configuration %d",
            self._worker,
            self._epoch,
            count,
            len(committed),
            self._configuration.version,
        )

    async def _stop_orphans(
        self, committed: dict[_attempts.AttemptKey, model.Commitment]
    ) -> None:
        """Stops running attempts that have no commitment.

        Only a row read after the list counts: an older row may lack the
        commitment of an attempt that was started since.
        """
        if (
            not self._has_list
            or self._listed_at is None
            or self._row_read_at is None
            or self._row_read_at < self._listed_at
            or self._address is None
        ):
            return
        for key, report in list(self._reports.items()):
            if (
                report.state is platform.ReportedState.RUNNING
                and key not in committed
                and key not in self._evictions
            ):
                self._orphans.add(key)
                logging.info(
                    "tasks: %s on %s has no commitment and is stopped,"
                    " configuration %d",
                    key,
                    self._worker,
                    self._configuration.version,
                )
                await self._stop_orphan(key, self._address)

    async def _stop_orphan(
        self, key: _attempts.AttemptKey, address: str
    ) -> None:
        try:
            report = await self._call(
                self._client.stop_task(address, self._epoch, key.task)
            )
        except errors.CodedError as error:
            # It lapses, because its lease is no longer renewed.
            logging.warning(
                "tasks: stop of %s on %s: %s", key, self._worker, error
            )
            return
        if report.attempt == key.attempt:
            self._reports[key] = report

    def _find_leave_reason(
        self,
        key: _attempts.AttemptKey,
        overflow: set[_attempts.AttemptKey],
        record: model.WorkerRecord,
    ) -> _Leave | None:
        """Returns why an attempt must leave the worker, or None."""
        if self._is_stopping_job(key.task.job):
            return _Leave(_Cause.STOPPING, "its job was cancelled or failed")
        reservation = record.reservation
        if (
            reservation is not None
            and self._clock.get_utc() < reservation.until
            and (key.task, key.attempt) in reservation.victims
        ):
            return _Leave(
                _Cause.PREEMPTED, f"preempted by urgent job {reservation.job}"
            )
        backend = self._instances.get_backend(self._worker)
        if backend is not None and backend.state is model.ServerState.LEAVING:
            return _Leave(_Cause.MOVED, "the backend server is leaving")
        if key in overflow:
            return _Leave(_Cause.MOVED, "the worker's capacity has shrunk")
        return None

    def _find_overflow(
        self, record: model.WorkerRecord
    ) -> set[_attempts.AttemptKey]:
        """Returns the attempts that no longer fit the listed capacity."""
        backend = self._instances.get_backend(self._worker)
        if backend is None:
            return set()
        left = placement.compute_batch_capacity(
            backend, self._configuration.get_worker_policy(self._worker)
        )
        found = set()
        for item in sorted(record.commitments, key=lambda x: not x.urgent):
            if item.resources.fits_in(left):
                left = left - item.resources
            else:
                found.add(_attempts.AttemptKey(item.task, item.attempt))
        return found

    def _explain(self, reason: str) -> str:
        return f"{reason}, configuration {self._configuration.version}"

    def _add_end(
        self,
        key: _attempts.AttemptKey,
        kind: _attempts.EndKind,
        checkpoint: str | None,
        reason: str,
        is_worker_silent: bool = False,
    ) -> None:
        ended = _attempts.Ended(
            self._worker,
            self._epoch,
            key,
            kind,
            checkpoint,
            self._explain(reason),
            is_worker_silent,
        )
        self._ends[key] = ended
        self._settler.add_end(ended)

    def _end_reported(
        self,
        key: _attempts.AttemptKey,
        report: platform.ReportedTask,
        reason: str,
        checkpoint: str | None = None,
    ) -> None:
        kinds = {
            platform.ReportedState.FINISHED: _attempts.EndKind.FINISHED,
            platform.ReportedState.FAILED: _attempts.EndKind.FAILED,
            platform.ReportedState.STOPPED: _attempts.EndKind.EVICTED,
            platform.ReportedState.LAPSED: _attempts.EndKind.LAPSED,
        }
        kind = kinds[report.state]
        words = f"{report.state.value} on {self._worker}"
        for detail in (reason, report.reason):
            if detail:
                words += f": {detail}"
        self._add_end(key, kind, report.checkpoint or checkpoint, words)

    def _give_up(
        self, key: _attempts.AttemptKey, leave: _Leave | None
    ) -> None:
        """Settles an attempt that certainly does not run any more."""
        now = self._clock.get_monotonic()
        if not self._leases.has_surely_lapsed(key, now):
            return
        if not self._has_list:
            since = self._silent_since
            if since is not None and now - since >= SILENT_AFTER:
                self._add_end(
                    key,
                    _attempts.EndKind.LOST,
                    None,
                    f"{self._worker} was silent until its leases had lapsed",
                    is_worker_silent=True,
                )
            return
        if leave is not None:
            kind, reason = _attempts.EndKind.EVICTED, leave.reason
        elif self._refusals.get(key, 0) >= _MAX_REFUSALS:
            kind = _attempts.EndKind.FAILED
            reason = f"{self._worker} did not start it: {self._refusal}"
        else:
            kind = _attempts.EndKind.LOST
            reason = f"{self._worker} no longer knows it"
        self._add_end(key, kind, None, reason)

    async def _start_attempt(
        self, key: _attempts.AttemptKey, commitment: model.Commitment
    ) -> bool:
        """Starts an attempt; tells whether more may be started now."""
        if any(
            other.task == key.task
            and report.state is platform.ReportedState.RUNNING
            for other, report in self._reports.items()
        ):
            # An earlier attempt of the task still runs here.
            return True
        if self._address is None:
            return False
        lease = self._configuration.get_batch_policy().lease
        # The end of the lease is fixed before the authority is checked. So
        # a pause after the check cannot make a lease outlast the time that
        # a successor waits.
        now = self._clock.get_monotonic()
        lease_until = self._clock.get_utc() + lease
        bound = self._leases.get_bound(key)
        order = platform.StartTask(
            key.task,
            key.attempt,
            commitment.kind,
            commitment.resources,
            commitment.command,
            commitment.checkpoint,
            lease_until,
        )
        if not self._ownership.has_authority(self._worker):
            return False
        self._leases.note_lease(key, now + lease)
        try:
            await self._call(
                self._client.start_task(self._address, self._epoch, order)
            )
        except platform.WorkerUnavailableError:
            self._leases.restore_bound(key, bound)
            self._list_at = now + RETRY_INTERVAL
            return False
        except platform.WorkerOutcomeUnknownError as error:
            # Starting the same attempt again is no error.
            self._note_refusal(key, error)
            self._list_at = now + RETRY_INTERVAL
            return False
        except platform.WorkerRefusedError as error:
            self._leases.restore_bound(key, bound)
            self._note_refusal(key, error)
            return True
        self._confirmed.add(key)
        self._reports[key] = platform.ReportedTask(
            key.task, key.attempt, platform.ReportedState.RUNNING
        )
        logging.info(
            "tasks: %s started on %s, configuration %d",
            key,
            self._worker,
            self._configuration.version,
        )
        return True

    def _note_refusal(
        self, key: _attempts.AttemptKey, error: errors.CodedError
    ) -> None:
        self._refusals[key] = self._refusals.get(key, 0) + 1
        self._refusal = error.message
        logging.warning(
            "tasks: %s did not start %s: %s", self._worker, key, error
        )

    async def _renew_leases(self) -> None:
        """Extends the leases of all running attempts in one call."""
        keys = [
            key
            for key, report in self._reports.items()
            if report.state is platform.ReportedState.RUNNING
            and self._may_renew(key)
        ]
        lease = self._configuration.get_batch_policy().lease
        # As for a start, the end of the lease is fixed before the check.
        now = self._clock.get_monotonic()
        until = self._clock.get_utc() + lease
        if not keys or self._address is None:
            self._renew_at = now + lease / 3
            return
        if not self._ownership.has_authority(self._worker):
            self._renew_at = now + RETRY_INTERVAL
            return
        bounds = {key: self._leases.get_bound(key) for key in keys}
        for key in keys:
            self._leases.note_lease(key, now + lease)
        try:
            running = await self._call(
                self._client.renew_leases(
                    self._address,
                    self._epoch,
                    tuple(key.task for key in keys),
                    until,
                )
            )
        except platform.WorkerUnavailableError:
            for key, bound in bounds.items():
                self._leases.restore_bound(key, bound)
            self._note_silence()
            self._list_at = now + RETRY_INTERVAL
            return
        except platform.WorkerOutcomeUnknownError:
            self._note_silence()
            self._list_at = now + RETRY_INTERVAL
            return
        self._renew_at = now + lease / 3
        if len(running) < len(keys):
            self._list_at = now

    def _may_renew(self, key: _attempts.AttemptKey) -> bool:
        if key in self._ends or key in self._orphans:
            return False
        eviction = self._evictions.get(key)
        return eviction is None or not eviction.is_stopping

    def _start_eviction(
        self, key: _attempts.AttemptKey, leave: _Leave
    ) -> None:
        if self._address is None:
            return
        eviction = _Eviction()
        self._evictions[key] = eviction
        eviction.task = asyncio.create_task(
            self._evict(key, leave, eviction, self._address)
        )

    async def _evict(
        self,
        key: _attempts.AttemptKey,
        leave: _Leave,
        eviction: _Eviction,
        address: str,
    ) -> None:
        """Checkpoints and stops one attempt, then queues its end."""
        try:
            checkpoint = None
            if leave.cause is not _Cause.STOPPING:
                checkpoint = await self._checkpoint(key, leave, address)
                if checkpoint is None and (leave.cause is _Cause.INTERFERENCE):
                    # It stays throttled, rather than losing its progress.
                    return
            eviction.is_stopping = True
            report = await self._call(
                self._client.stop_task(address, self._epoch, key.task)
            )
            if report.attempt == key.attempt:
                self._reports[key] = report
                if report.state is not platform.ReportedState.RUNNING:
                    self._end_reported(key, report, leave.reason, checkpoint)
        except errors.CodedError as error:
            # The next list shows whether it still runs.
            logging.warning(
                "tasks: eviction of %s from %s: %s", key, self._worker, error
            )
        finally:
            self._evictions.pop(key, None)
            self._list_at = self._clock.get_monotonic() + RETRY_INTERVAL
            self._wake.set()

    async def _checkpoint(
        self, key: _attempts.AttemptKey, leave: _Leave, address: str
    ) -> str | None:
        limit = CHECKPOINT_LIMIT
        if leave.cause is _Cause.PREEMPTED:
            limit = PREEMPT_CHECKPOINT_LIMIT
        try:
            return await self._call(
                self._client.checkpoint_task(address, self._epoch, key.task),
                limit,
            )
        except errors.CodedError as error:
            logging.warning(
                "tasks: no new checkpoint of %s on %s: %s",
                key,
                self._worker,
                error,
            )
            return None

    async def _relieve_runner(self) -> None:
        """Observes the runner beside the tasks and takes one action."""
        now = self._clock.get_monotonic()
        self._usage_at = now + _throttle.LAG_INTERVAL
        service = self._latency.get_service(self._worker)
        p99 = self._latency.get_p99(self._worker)
        if service is None or p99 is None or self._address is None:
            return
        if not self._has_list:
            return
        usage = await self._call(self._client.read_usage(self._address))
        record = self._get_record()
        commitments = record.commitments if record else ()
        used = {item.task: item.processors for item in usage.tasks}
        suspects = []
        for item in commitments:
            key = _attempts.AttemptKey(item.task, item.attempt)
            if item.task in used and key in self._reports:
                ratio = self._interference.estimate_ratio(service, item.kind)
                suspects.append(
                    _throttle.Suspect(key, ratio, used[item.task], item.urgent)
                )
        kinds = {item.kind for item in commitments if used.get(item.task)}
        self._interference.observe(service, kinds, p99)
        bound = self._configuration.get_service_policy(service).latency_bound
        self._controller.note_reading(p99, bound, suspects)
        lag = self._clock.get_utc() - usage.as_of
        policy = self._configuration.get_batch_policy()
        action = self._controller.choose_action(
            p99, bound, suspects, now, lag, policy
        )
        if action is not None:
            await self._act(action, policy)

    async def _act(
        self, action: _throttle.Action, policy: declarations.BatchPolicy
    ) -> None:
        if self._address is None:
            return
        logging.info(
            "tasks: %s %s on %s: %s, configuration %d",
            action.kind.value,
            action.key,
            self._worker,
            action.reason,
            self._configuration.version,
        )
        self._controller.note_action(action, self._clock.get_monotonic())
        if action.kind is _throttle.ActionKind.EVICT:
            if action.key not in self._evictions:
                reason = f"interference: {action.reason}"
                self._start_eviction(
                    action.key, _Leave(_Cause.INTERFERENCE, reason)
                )
            return
        is_lift = action.kind is _throttle.ActionKind.LIFT
        await self._call(
            self._client.throttle_task(
                self._address,
                self._epoch,
                action.key.task,
                100 if is_lift else policy.throttle_percent,
            )
        )
