"""Stand-in for a worker.

Started as ``python -m standins.worker --name N --store HOST:PORT ...``.
``POST /admin/faults`` sets faults, ``GET /admin/records`` returns what ran.
"""

import argparse
import asyncio
import datetime
import time
import typing
from urllib import parse

import attrs
from tornado import httpclient
from tornado import httpserver
from tornado import web

from standins import records
from standins import serving
from standins import worker_tasks

_STORE_TIMEOUT_SECONDS = 2.0


class HttpObjects:
    """Object store over HTTP; implements ObjectAccess."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def put(self, key: str, content: bytes) -> None:
        await self._fetch("PUT", key, content, (200,))

    async def get(self, key: str) -> bytes | None:
        response = await self._fetch("GET", key, None, (200, 404))
        return response.body if response.code == 200 else None

    async def _fetch(
        self,
        method: str,
        key: str,
        body: bytes | None,
        good: tuple[int, ...],
    ) -> httpclient.HTTPResponse:
        quoted = parse.quote(key, safe="")
        try:
            response = await httpclient.AsyncHTTPClient().fetch(
                f"http://{self._address}/v1/objects/{quoted}",
                raise_error=False,
                method=method,
                body=body,
                request_timeout=_STORE_TIMEOUT_SECONDS,
            )
        except httpclient.HTTPError as error:
            raise OSError(str(error)) from error
        if response.code not in good:
            raise OSError(f"object store answered {response.code}")
        return response


@attrs.define
class Faults:
    """Faults in force.

    Attributes:
        refuse: Answers every request of the protocol with 503.
        silent: Gives no answer and does nothing.
        slow_ms: Delay before each request is served.
        lose_answers: Coming orders that are followed without an answer.
        fail_all: Every task that starts fails at once.
    """

    refuse: bool = False
    silent: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    fail_all: bool = False


class WorkerState:
    """All state of the stand-in."""

    def __init__(
        self, tasks: worker_tasks.WorkerTasks, usage_lag_seconds: float = 0.0
    ) -> None:
        self.tasks = tasks
        self.usage_lag_seconds = usage_lag_seconds
        self.faults = Faults()


class _ProtocolHandler(serving.JsonHandler):
    """Applies the faults and turns refusals into answers."""

    def initialize(self, state: WorkerState) -> None:
        self._state = state
        self._tasks = state.tasks

    async def prepare(self) -> None:
        faults = self._state.faults
        await asyncio.sleep(faults.slow_ms / 1000)
        if faults.silent:
            await self.hold()
        elif faults.refuse:
            self.write_json({"reason": "fault"}, 503)

    def finish_order(self, value: typing.Any) -> None:
        """Answers an order that was followed, or loses the answer."""
        if self._state.faults.lose_answers > 0:
            self._state.faults.lose_answers -= 1
            self.close_connection()
            return
        self.write_json(value)

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        error = kwargs.get("exc_info", (None, None))[1]
        if isinstance(error, worker_tasks.UnknownTaskError):
            self.write_json({"reason": str(error)}, 404)
        elif isinstance(error, worker_tasks.OrderRefusedError):
            self.write_json({"reason": str(error)}, 409)
        elif isinstance(error, KeyError | TypeError | ValueError):
            self.write_json({"reason": f"malformed: {error!r}"}, 400)
        elif isinstance(error, OSError):
            self.write_json({"reason": str(error)}, 502)
        else:
            self.write_json({"reason": f"status {status_code}"}, status_code)

    def log_exception(self, *args: typing.Any) -> None:
        """Keeps refusals, which are expected, out of the log."""


class _TasksHandler(_ProtocolHandler):
    def post(self) -> None:
        content = self.read_json()
        attempt = self._tasks.start(
            worker_tasks.Order(
                str(content["task"]),
                int(content["attempt"]),
                int(content["epoch"]),
                _parse_time(content["lease_until"]),
                records.decode(content["resources"], records.Amounts),
                str(content["kind"]),
                content["checkpoint"],
                str(content["command"]),
            )
        )
        self.finish_order(
            {
                "task": attempt.order.task,
                "attempt": attempt.order.attempt,
                "state": attempt.state,
            }
        )

    def get(self) -> None:
        epoch = self.get_query_argument("epoch", None)
        attempts = self._tasks.list_attempts(int(epoch) if epoch else None)
        self.write_json({"tasks": [_show(item) for item in attempts]})


class _LeasesHandler(_ProtocolHandler):
    def post(self) -> None:
        content = self.read_json()
        renewed = self._tasks.renew(
            int(content["epoch"]),
            _parse_time(content["lease_until"]),
            list(content["tasks"]),
        )
        self.finish_order({"renewed": renewed})


class _OrderHandler(_ProtocolHandler):
    async def post(self, task: str, action: str) -> None:
        content = self.read_json()
        epoch = int(content["epoch"])
        number = content.get("attempt")
        if action == "throttle":
            percent = int(content["percent"])
            self._tasks.throttle(epoch, task, number, percent)
            self.finish_order({"task": task, "percent": percent})
        elif action == "checkpoint":
            key = await self._tasks.checkpoint(epoch, task, number)
            self.finish_order({"task": task, "checkpoint": key})
        else:
            attempt = await self._tasks.stop(epoch, task, number)
            self.finish_order(_show(attempt))


class _UsageHandler(_ProtocolHandler):
    def get(self) -> None:
        moment = time.time() - self._state.usage_lag_seconds
        self.write_json(
            {
                "as_of": _format_time(moment),
                "tasks": [
                    {
                        "task": item.order.task,
                        "processors": item.order.amounts.processors
                        * item.percent
                        // 100,
                        "memory_mb": item.order.amounts.memory_mb,
                    }
                    for item in self._tasks.list_running_at(moment)
                ],
            }
        )


class _FaultsHandler(serving.JsonHandler):
    def initialize(self, state: WorkerState) -> None:
        self._state = state

    def post(self) -> None:
        """Replaces all faults; a key that is left out is no fault."""
        try:
            self._state.faults = Faults(**self.read_json())
        except TypeError as error:
            raise web.HTTPError(400) from error
        self._state.tasks.set_fails_all(self._state.faults.fail_all)
        self.write_json({})


class _RecordsHandler(serving.JsonHandler):
    def initialize(self, state: WorkerState) -> None:
        self._state = state

    def get(self) -> None:
        self.write_json(records.encode(self._state.tasks.get_records()))


def _parse_time(text: str) -> float:
    moment = datetime.datetime.fromisoformat(text)
    if moment.tzinfo is None:
        raise ValueError("time without offset")
    return moment.timestamp()


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.timezone.utc)
    return moment.isoformat()


def _show(attempt: worker_tasks.Attempt) -> dict[str, typing.Any]:
    return {
        "task": attempt.order.task,
        "attempt": attempt.order.attempt,
        "state": attempt.state,
        "checkpoint": attempt.checkpoint,
        "reason": attempt.reason,
    }


def build_server(state: WorkerState) -> httpserver.HTTPServer:
    """Returns the server of the stand-in, not yet listening."""
    settings = {"state": state}
    application = web.Application(
        [
            (r"/v1/tasks", _TasksHandler, settings),
            (r"/v1/leases", _LeasesHandler, settings),
            (
                r"/v1/tasks/([^/]+)/(throttle|checkpoint|stop)",
                _OrderHandler,
                settings,
            ),
            (r"/v1/usage", _UsageHandler, settings),
            (r"/admin/faults", _FaultsHandler, settings),
            (r"/admin/records", _RecordsHandler, settings),
        ],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(application)


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    serving.add_common_options(parser)
    parser.add_argument("--name", required=True)
    parser.add_argument("--store", required=True, help="HOST:PORT")
    parser.add_argument("--processors", type=int, default=64_000)
    parser.add_argument("--memory-mb", type=int, default=250_000)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument("--skew-ms", type=int, default=0)
    parser.add_argument("--usage-lag-ms", type=int, default=2_000)
    options = parser.parse_args()

    async def run() -> None:
        tasks = worker_tasks.WorkerTasks(
            options.name,
            records.Amounts(
                options.processors, options.memory_mb, options.accelerators
            ),
            HttpObjects(options.store),
            options.skew_ms / 1000,
        )
        state = WorkerState(tasks, options.usage_lag_ms / 1000)
        await serving.serve_until_signal(build_server(state), options)
        await tasks.close()

    asyncio.run(run())


if __name__ == "__main__":
    main()
