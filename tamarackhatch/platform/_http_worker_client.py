"""HTTP client of the platform's workers."""

from collections.abc import Mapping
import datetime
import json
import re
import typing
from urllib import parse

from tamarackhatch import model
from tamarackhatch.platform import _answers
from tamarackhatch.platform import _errors
from tamarackhatch.platform import _http_pool
from tamarackhatch.platform import _worker_client

# Leases of 30 s are renewed every 10 s: three tries fit before one lapses.
_DEFAULT_TIMEOUT = datetime.timedelta(seconds=3)
# A checkpoint passes through the object store before the worker answers.
_DEFAULT_SLOW_TIMEOUT = datetime.timedelta(seconds=10)
_MAX_PERCENT = 100
# Only the canonical form, so that no two texts mean the same task.
_TASK_ID = re.compile(r"(?P<job>.+)/(?P<index>0|[1-9][0-9]{0,8})", re.DOTALL)


class HttpWorkerClient:
    """Implements WorkerClient over HTTP.

    Reads change nothing on the worker, so any failure of one is
    WorkerUnavailableError, or BadPlatformAnswerError for a malformed answer.
    """

    def __init__(
        self,
        pool: _http_pool.HttpPool,
        timeout: datetime.timedelta = _DEFAULT_TIMEOUT,
        slow_timeout: datetime.timedelta = _DEFAULT_SLOW_TIMEOUT,
    ) -> None:
        self._pool = pool
        self._timeout = timeout
        self._slow_timeout = slow_timeout

    async def start_task(
        self, address: str, epoch: int, order: _worker_client.StartTask
    ) -> None:
        content = {
            "task": str(order.task),
            "attempt": order.attempt,
            "epoch": epoch,
            "lease_until": _format_time(order.lease_until),
            "resources": {
                "processors": order.resources.processors,
                "memory_mb": order.resources.memory_mb,
                "accelerators": order.resources.accelerators,
            },
            "kind": order.kind,
            "checkpoint": order.checkpoint,
            "command": order.command,
        }
        answer = await self._order(
            address, "/v1/tasks", content, self._timeout
        )
        _require_write_answer(
            answer, "task", str(order.task), "attempt", order.attempt
        )

    async def renew_leases(
        self,
        address: str,
        epoch: int,
        tasks: tuple[model.TaskId, ...],
        lease_until: datetime.datetime,
    ) -> tuple[model.TaskId, ...]:
        content = {
            "epoch": epoch,
            "lease_until": _format_time(lease_until),
            "tasks": [str(task) for task in tasks],
        }
        answer = await self._order(
            address,
            "/v1/leases",
            content,
            self._timeout,
            _http_pool.Lane.WORKER_LEASE,
        )
        by_name = {str(task): task for task in tasks}
        try:
            renewed = _answers.parse_object(answer).read_list("renewed")
            if not all(
                isinstance(name, str) and name in by_name for name in renewed
            ):
                raise _errors.BadPlatformAnswerError(
                    "renewed tasks are not those of the request"
                )
        except _errors.BadPlatformAnswerError as error:
            raise _errors.WorkerOutcomeUnknownError(error.message) from error
        return tuple(by_name[name] for name in dict.fromkeys(renewed))

    async def throttle_task(
        self,
        address: str,
        epoch: int,
        task: model.TaskId,
        percent: int,
        attempt: int | None = None,
    ) -> None:
        if not 0 < percent <= _MAX_PERCENT:
            raise ValueError(f"percent must be from 1 to 100: {percent}")
        answer = await self._order(
            address,
            _build_path(task, "throttle"),
            {"epoch": epoch, "attempt": attempt, "percent": percent},
            self._timeout,
        )
        _require_write_answer(answer, "task", str(task), "percent", percent)

    async def checkpoint_task(
        self,
        address: str,
        epoch: int,
        task: model.TaskId,
        attempt: int | None = None,
    ) -> str:
        answer = await self._order(
            address,
            _build_path(task, "checkpoint"),
            {"epoch": epoch, "attempt": attempt},
            self._slow_timeout,
        )
        try:
            content = _answers.parse_object(answer)
            if content.read_text("task") != str(task):
                raise _errors.BadPlatformAnswerError(
                    "answer is for another task"
                )
            return content.read_text("checkpoint")
        except _errors.BadPlatformAnswerError as error:
            raise _errors.WorkerOutcomeUnknownError(error.message) from error

    async def stop_task(
        self,
        address: str,
        epoch: int,
        task: model.TaskId,
        attempt: int | None = None,
    ) -> _worker_client.ReportedTask:
        answer = await self._order(
            address,
            _build_path(task, "stop"),
            {"epoch": epoch, "attempt": attempt},
            self._slow_timeout,
        )
        try:
            reported = _read_task(_answers.parse_object(answer))
            # The caller frees the task's resources on this answer, so it
            # must be for the task that was meant, and say that it ended.
            if (
                reported.task != task
                or reported.state is _worker_client.ReportedState.RUNNING
                or attempt not in (None, reported.attempt)
            ):
                raise _errors.BadPlatformAnswerError(
                    f"{task} is not shown as stopped"
                )
        except _errors.BadPlatformAnswerError as error:
            raise _errors.WorkerOutcomeUnknownError(error.message) from error
        return reported

    async def list_tasks(
        self, address: str, epoch: int
    ) -> tuple[_worker_client.ReportedTask, ...]:
        query = parse.urlencode({"epoch": epoch})
        content = await self._read(address, f"/v1/tasks?{query}")
        tasks = tuple(
            _read_task(item) for item in content.iterate_objects("tasks")
        )
        if len({(item.task, item.attempt) for item in tasks}) < len(tasks):
            raise _errors.BadPlatformAnswerError(
                f"worker {address} lists an attempt twice"
            )
        return tasks

    async def read_usage(self, address: str) -> _worker_client.UsageReport:
        content = await self._read(address, "/v1/usage")
        return _worker_client.UsageReport(
            content.read_time("as_of"),
            tuple(
                _worker_client.TaskUsage(
                    _read_task_id(item),
                    item.read_count("processors"),
                    item.read_count("memory_mb"),
                )
                for item in content.iterate_objects("tasks")
            ),
        )

    async def _read(self, address: str, path: str) -> _answers.AnswerObject:
        call = _http_pool.HttpCall(
            _http_pool.Lane.WORKER_READ, "GET", address, path, self._timeout
        )
        try:
            answer = await self._pool.send(call)
        except (
            _http_pool.CallNotSentError,
            _http_pool.CallLostError,
        ) as error:
            raise _errors.WorkerUnavailableError(str(error)) from error
        if answer.status == 409:
            raise _errors.WorkerRefusedError(_read_refusal(answer))
        if answer.status != 200:
            raise _errors.WorkerUnavailableError(
                f"worker {address} answered {answer.status}"
            )
        return _answers.parse_object(answer)

    async def _order(
        self,
        address: str,
        path: str,
        content: Mapping[str, typing.Any],
        timeout: datetime.timedelta,
        lane: _http_pool.Lane = _http_pool.Lane.WORKER_ORDER,
    ) -> _http_pool.HttpAnswer:
        call = _http_pool.HttpCall(
            lane, "POST", address, path, timeout, json.dumps(content).encode()
        )
        try:
            answer = await self._pool.send(call)
        except _http_pool.CallNotSentError as error:
            raise _errors.WorkerUnavailableError(str(error)) from error
        except _http_pool.CallLostError as error:
            raise _errors.WorkerOutcomeUnknownError(str(error)) from error
        if answer.status == 503:
            raise _errors.WorkerUnavailableError(
                f"worker {address} answered 503"
            )
        if answer.status in (404, 409):
            try:
                raise _errors.WorkerRefusedError(_read_refusal(answer))
            except _errors.BadPlatformAnswerError as error:
                raise _errors.WorkerOutcomeUnknownError(
                    error.message
                ) from error
        if answer.status != 200:
            raise _errors.WorkerOutcomeUnknownError(
                f"worker {address} answered {answer.status}"
            )
        return answer


def _build_path(task: model.TaskId, action: str) -> str:
    return f"/v1/tasks/{parse.quote(str(task), safe='')}/{action}"


def _format_time(value: datetime.datetime) -> str:
    if value.tzinfo is None:
        raise ValueError("time must have a time zone")
    return value.astimezone(datetime.timezone.utc).isoformat()


def _read_refusal(answer: _http_pool.HttpAnswer) -> str:
    return _answers.parse_object(answer).read_text("reason")


def _require_write_answer(
    answer: _http_pool.HttpAnswer,
    text_key: str,
    text: str,
    count_key: str,
    count: int,
) -> None:
    try:
        content = _answers.parse_object(answer)
        if (
            content.read_text(text_key) != text
            or content.read_count(count_key) != count
        ):
            raise _errors.BadPlatformAnswerError("answer is for another order")
    except _errors.BadPlatformAnswerError as error:
        raise _errors.WorkerOutcomeUnknownError(error.message) from error


def _read_task_id(content: _answers.AnswerObject) -> model.TaskId:
    match = _TASK_ID.fullmatch(content.read_text("task"))
    if not match:
        raise _errors.BadPlatformAnswerError(
            f"{content.place}.task must be JOB/INDEX"
        )
    return model.TaskId(match["job"], int(match["index"]))


def _read_task(
    content: _answers.AnswerObject,
) -> _worker_client.ReportedTask:
    return _worker_client.ReportedTask(
        _read_task_id(content),
        content.read_count("attempt"),
        content.read_enum("state", _worker_client.ReportedState),
        content.read_optional_text("checkpoint"),
        content.read_note("reason"),
    )
