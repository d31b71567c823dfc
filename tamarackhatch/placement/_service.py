"""Submission, reading and cancellation of jobs."""

import re

from absl import logging
import attrs

from tamarackhatch import declarations
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch.placement import _capacity
from tamarackhatch.placement import _errors
from tamarackhatch.placement import _rows
from tamarackhatch import platform

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+-]{0,127}")
# The row of a job holds all its tasks; beyond this it grows past 1 MiB.
MAX_TASKS = 4000
# Commits tried again after a conflict or an unknown result.
_MAX_TRIES = 8


class JobService:
    """Durable submission and cancellation of jobs."""

    def __init__(
        self,
        tables: platform.TableService,
        instances: platform.InstanceView,
        configuration: declarations.ConfigurationView,
    ) -> None:
        self._tables = tables
        self._instances = instances
        self._configuration = configuration

    async def submit_job(self, spec: model.JobSpec) -> None:
        """Stores a job; it is durable when this returns.

        Submitting the same job again is no error. The submission time is
        not compared, because a repeated submission carries a later one.

        Raises:
            JobRefusedError: BAD_JOB, INFEASIBLE_JOB, or DUPLICATE when
                another job has the same ID.
            StoreUnavailableError: The job was not stored.
            StoreOutcomeUnknownError: The job may have been stored.
        """
        self._check_spec(spec)
        job = model.Job(
            spec,
            model.JobState.ACTIVE,
            tuple(model.Task(index) for index in range(spec.task_count)),
        )
        transaction = platform.Transaction(
            (platform.Condition(platform.Table.JOBS, spec.job, 0),),
            _rows.build_job_writes(None, job),
        )
        unknown: platform.StoreOutcomeUnknownError | None = None
        for _ in range(_MAX_TRIES):
            try:
                await self._tables.commit(transaction)
                break
            except platform.ConditionFailedError:
                if await self._has_same_job(spec):
                    break
            except platform.StoreUnavailableError:
                if unknown is None:
                    raise
            except platform.StoreOutcomeUnknownError as error:
                unknown = error
                if await self._has_stored(spec, error):
                    break
        else:
            raise unknown or platform.StoreUnavailableError(
                f"job {spec.job}: rows kept changing"
            )
        logging.info(
            "placement: job %s of team %s accepted with %d tasks,"
            " configuration %d",
            spec.job,
            spec.team,
            spec.task_count,
            self._configuration.version,
        )

    async def get_job(self, job: str) -> model.Job | None:
        """Returns the job, or None if there is none."""
        if not _NAME.fullmatch(job):
            return None
        row = await self._tables.read_row(platform.Table.JOBS, job)
        return platform.decode_row(row.value, model.Job) if row else None

    async def cancel_job(self, job: str) -> None:
        """Cancels a job; cancelling an ended job changes nothing.

        One transaction on the job row, whatever the number of its tasks.
        Owners stop the placed tasks later and free what they hold.

        Raises:
            JobRefusedError: UNKNOWN_JOB.
            StoreUnavailableError: The job was not cancelled.
            StoreOutcomeUnknownError: The job may have been cancelled.
        """
        unknown: platform.StoreOutcomeUnknownError | None = None
        for _ in range(_MAX_TRIES):
            try:
                row = None
                if _NAME.fullmatch(job):
                    row = await self._tables.read_row(platform.Table.JOBS, job)
            except platform.StoreUnavailableError:
                if unknown is not None:
                    raise unknown
                raise
            if row is None:
                raise _errors.JobRefusedError(
                    errors.ErrorCode.UNKNOWN_JOB, f"no job {job}"
                )
            before = platform.decode_row(row.value, model.Job)
            if before.state is not model.JobState.ACTIVE:
                return
            after = _cancel(before)
            try:
                await self._tables.commit(
                    platform.Transaction(
                        (
                            platform.Condition(
                                platform.Table.JOBS, job, row.version
                            ),
                        ),
                        _rows.build_job_writes(before, after),
                    )
                )
            except platform.ConditionFailedError:
                continue
            except platform.StoreOutcomeUnknownError as error:
                unknown = error
                continue
            logging.info(
                "placement: job %s cancelled, configuration %d",
                job,
                self._configuration.version,
            )
            return
        raise unknown or platform.StoreUnavailableError(
            f"job {job}: row kept changing"
        )

    async def _has_stored(
        self, spec: model.JobSpec, error: platform.StoreOutcomeUnknownError
    ) -> bool:
        try:
            return await self._has_same_job(spec)
        except platform.StoreUnavailableError:
            raise error

    async def _has_same_job(self, spec: model.JobSpec) -> bool:
        found = await self.get_job(spec.job)
        if found is None:
            return False
        same_time = attrs.evolve(spec, submitted_at=found.spec.submitted_at)
        if found.spec != same_time:
            raise _errors.JobRefusedError(
                errors.ErrorCode.DUPLICATE,
                f"another job has the ID {spec.job}",
            )
        return True

    def _check_spec(self, spec: model.JobSpec) -> None:
        for name, text in (("job", spec.job), ("team", spec.team)):
            if not _NAME.fullmatch(text):
                raise _errors.JobRefusedError(
                    errors.ErrorCode.BAD_JOB,
                    f"{name} {text!r} is not a valid name",
                )
        if not 1 <= spec.task_count <= MAX_TASKS:
            raise _errors.JobRefusedError(
                errors.ErrorCode.BAD_JOB,
                f"task count {spec.task_count} is not in 1..{MAX_TASKS}",
            )
        need = spec.resources
        if min(need.processors, need.memory_mb, need.accelerators) < 0:
            raise _errors.JobRefusedError(
                errors.ErrorCode.BAD_JOB, "resources must not be negative"
            )
        if need == model.Resources():
            raise _errors.JobRefusedError(
                errors.ErrorCode.BAD_JOB, "a task needs some resources"
            )
        self._check_feasible(spec)

    def _check_feasible(self, spec: model.JobSpec) -> None:
        quota = self._configuration.get_team_policy(spec.team).quota
        if quota is not None and not spec.resources.fits_in(quota):
            raise _errors.JobRefusedError(
                errors.ErrorCode.INFEASIBLE_JOB,
                f"one task of {spec.job} exceeds the quota of {spec.team}",
            )
        if self._instances.snapshot is None:
            raise platform.StoreUnavailableError(
                "the instance list has not been read yet"
            )
        # A leaving server counts: its replacement has the same size.
        for backend in self._instances.list_backends():
            policy = self._configuration.get_worker_policy(backend.worker)
            if policy.batch_allowed and spec.resources.fits_in(
                _capacity.compute_batch_capacity(backend, policy)
            ):
                return
        raise _errors.JobRefusedError(
            errors.ErrorCode.INFEASIBLE_JOB,
            f"a task of {spec.job} fits no known worker",
        )


def _cancel(job: model.Job) -> model.Job:
    tasks = tuple(
        (
            attrs.evolve(
                task,
                state=model.TaskState.CANCELLED,
                reason="job cancelled before placement",
            )
            if task.state is model.TaskState.PENDING
            else task
        )
        for task in job.tasks
    )
    return attrs.evolve(
        job,
        state=model.JobState.CANCELLED,
        tasks=tasks,
        reason="cancelled by the team",
    )
