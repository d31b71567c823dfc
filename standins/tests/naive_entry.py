"""A naive entry instance, which proves that the demonstration works.

It sends each request straight to a runner, owns a fixed share of the workers
and keeps everything in memory. It holds no guarantee when it is killed.
"""

import argparse
import asyncio
import contextlib
import datetime
import json
import pathlib
import random
import signal
import typing
from urllib import parse

from tornado import httpclient
from tornado import web

_LEASE = datetime.timedelta(seconds=30)
_STEP_SECONDS = 0.1


class _State:
    """Settings, the instance list, and the tasks that wait."""

    def __init__(
        self, settings: dict[str, typing.Any], is_lying: bool
    ) -> None:
        self.settings = settings
        self.is_lying = is_lying
        self.version = 0
        self.is_leaving = False
        self.waiting: list[dict[str, typing.Any]] = []
        self.open: dict[str, int] = {}
        self.backends: list[dict[str, typing.Any]] = []
        self.own: list[str] = []

    async def read_instances(self) -> None:
        """Reads the instance list; takes every n-th worker as its own."""
        address = self.settings["platform"]["instance_list"]
        content = json.loads((await _fetch(address, "/v1/instances")).body)
        instances = content["instances"]
        self.backends = [i for i in instances if i["role"] == "backend"]
        entries = sorted(i["id"] for i in instances if i["role"] == "entry")
        index = entries.index(self.settings["instance"])
        workers = sorted(b["worker_address"] for b in self.backends)
        self.own = workers[index :: len(entries)]

    async def run_tasks(self) -> None:
        """Starts waiting tasks wherever they are accepted."""
        while True:
            await asyncio.sleep(_STEP_SECONDS)
            for task in list(self.waiting):
                for address in self.own:
                    lease = datetime.datetime.now(datetime.timezone.utc)
                    order = {**task, "lease_until": str(lease + _LEASE)}
                    answer = await _fetch(address, "/v1/tasks", order)
                    if answer.code == 200:
                        self.waiting.remove(task)
                        break


class _Handler(web.RequestHandler):
    def initialize(self, state: _State) -> None:
        self._state = state


class _HealthHandler(_Handler):
    def get(self) -> None:
        self.set_status(503 if self._state.is_leaving else 200)


class _ServiceHandler(_Handler):
    async def get(self, path: str) -> None:
        runners = [b for b in self._state.backends if b["runner_address"]]
        address = random.choice(runners)["runner_address"]
        name = self.request.headers["Request-Id"]
        allowed = int(self.request.headers["Request-Timeout-Ms"]) / 1000
        deadline = datetime.datetime.now(datetime.timezone.utc)
        deadline += datetime.timedelta(seconds=allowed)
        answer = await _fetch(
            address,
            f"/{path}?{self.request.query}",
            self.request.body or None,
            {"Request-Id": name, "Request-Deadline": str(deadline)},
        )
        self.set_status(answer.code)
        outcome = "not-run" if self._state.is_lying else "answered"
        self.set_header("Tamarackhatch-Outcome", outcome)
        self.finish(answer.body or None)

    post = get


class _JobsHandler(_Handler):
    def post(self) -> None:
        job = json.loads(self.request.body)
        self._state.waiting += [
            {
                "task": f"{job['job']}/{index}",
                "attempt": 1,
                "epoch": 1,
                "resources": job["resources"],
                "kind": job["kind"],
                "checkpoint": None,
                "command": job["command"],
            }
            for index in range(job["task_count"])
        ]
        self.set_status(201)


class _ConfigurationHandler(_Handler):
    def get(self) -> None:
        self.finish({"version": self._state.version})

    def post(self) -> None:
        self._state.version += 1
        self.finish({"version": self._state.version})


async def _fetch(
    address: str,
    path: str,
    body: dict[str, typing.Any] | bytes | None = None,
    headers: dict[str, str] | None = None,
) -> httpclient.HTTPResponse:
    if isinstance(body, dict):
        body = json.dumps(body).encode()
    return await httpclient.AsyncHTTPClient().fetch(
        f"http://{address}{parse.quote(path, safe='/?=&')}",
        raise_error=False,
        method="GET" if body is None else "POST",
        body=body,
        headers=headers,
    )


async def _run(settings: dict[str, typing.Any], is_lying: bool) -> None:
    state = _State(settings, is_lying)
    await state.read_instances()
    options = {"state": state}
    listen = settings["listen"]
    for address, routes in (
        (
            listen["callers"],
            [
                (r"/v1/health", _HealthHandler, options),
                (r"/v1/services/[^/]+/(.+)", _ServiceHandler, options),
                (r"/v1/jobs", _JobsHandler, options),
            ],
        ),
        (
            listen["operators"],
            [(r"/v1/configuration", _ConfigurationHandler, options)],
        ),
    ):
        host, _, port = address.partition(":")
        web.Application(routes).listen(int(port), host)
    tasks = asyncio.create_task(state.run_tasks())
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()
    state.is_leaving = True
    await asyncio.sleep(1.0)
    tasks.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await tasks


def main() -> None:
    """Runs one naive entry instance."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", type=pathlib.Path, required=True)
    parser.add_argument(
        "--lying", action="store_true", help="calls every request not run"
    )
    options = parser.parse_args()
    settings = json.loads(options.settings.read_text())
    asyncio.run(_run(settings, options.lying))


if __name__ == "__main__":
    main()
