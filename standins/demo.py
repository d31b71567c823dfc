"""Demonstration: entry instances under load, a kill and a planned stop.

``python -m standins.demo`` starts the stand-ins and four entry instances in
two data centres, sends requests and batch jobs, changes the declarations,
kills one instance and stops another. It prints what the stand-ins recorded.
The exit code is 0 if every guarantee held, 1 if one broke, 2 if the
demonstration could not be carried out.
"""

import argparse
import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import json
import pathlib
import shlex
import signal
import sys
import tempfile
import time
import typing

import attrs
from tornado import httpclient

from standins import checks
from standins import children
from standins import load
from standins import records

_SERVICE = "badge"
_TEAM = "roster"
_TOKEN = "demo-operator-token"
_SHARED_KEY = "demo-shared-key-that-is-long-enough"
_DATA_CENTRES = (("almaty-1", "almaty"), ("astana-1", "astana"))
_ENTRIES_PER_CENTRE = 2
_WORKERS_PER_CENTRE = 3
_RUNNERS_PER_CENTRE = 2
# The default policy keeps 4 cores and 4 GiB for a runner. What is left holds
# fewer tasks than the jobs have, so that the urgent job must evict some.
_CAPACITY = records.Amounts(12_000, 16_384, 0)
_TASK_NEED = records.Amounts(2_000, 512, 0)
_HEALTHY_SECONDS = 20.0
_POLL_SECONDS = 0.25

_SERVE_COMMAND = (
    sys.executable,
    "-c",
    "from tamarackhatch import cli; cli.main()",
    "serve",
)


@attrs.frozen
class DemoPlan:
    """Steps and their times, in seconds after the load began.

    A None time leaves the step out.
    """

    requests: load.LoadPlan = load.LoadPlan(_SERVICE)
    jobs: tuple[load.JobPlan, ...] = (
        load.JobPlan("weekly-a", _TEAM, 12, _TASK_NEED, "run_ms=4000"),
        load.JobPlan("weekly-b", _TEAM, 12, _TASK_NEED, "run_ms=4000"),
        load.JobPlan("weekly-c", _TEAM, 12, _TASK_NEED, "run_ms=4000"),
    )
    urgent_job: load.JobPlan = load.JobPlan(
        "urgent", _TEAM, 6, _TASK_NEED, "run_ms=1000", "urgent", True
    )
    urgent_at: float = 2.0
    change_at: float | None = 5.0
    kill_at: float | None = 8.0
    stop_at: float | None = 12.0
    settle_seconds: float = 25.0


@attrs.frozen
class Entry:
    """One entry instance of the demonstration."""

    name: str
    data_centre: str
    region: str
    caller_address: str
    operator_address: str
    peer_address: str


@attrs.frozen
class Steps:
    """What the steps of the demonstration measured.

    Attributes:
        killed_at: Wall-clock times of the kills.
        stop_code: Exit code of the planned stop, or None.
        stop_seconds: How long the planned stop took.
        change_seconds: Time until the new configuration was in force at
            every live instance, or None.
        faults: Steps that failed, in words.
    """

    killed_at: tuple[float, ...] = ()
    stop_code: int | None = None
    stop_seconds: float = 0.0
    change_seconds: float | None = None
    faults: tuple[str, ...] = ()


def build_settings_text(entry: Entry, platform_address: str) -> str:
    """Returns the settings file of an entry instance."""
    return json.dumps(
        {
            "instance": entry.name,
            "data_centre": entry.data_centre,
            "region": entry.region,
            "listen": {
                "callers": entry.caller_address,
                "operators": entry.operator_address,
                "peers": entry.peer_address,
            },
            "platform": {
                "table_service": platform_address,
                "object_store": platform_address,
                "instance_list": platform_address,
            },
            "operator_token": _TOKEN,
            "shared_key": _SHARED_KEY,
        },
        indent=2,
    )


def build_change(base_version: int) -> dict[str, typing.Any]:
    """Returns the body of ``POST /v1/configuration``."""
    return {
        "base_version": base_version,
        "author": "demo",
        "declarations": {
            "defaults": {"service": {"latency_bound": 0.25}},
            "exceptions": [],
        },
    }


class Demo:
    """One run of the demonstration."""

    def __init__(
        self,
        plan: DemoPlan,
        serve_command: Sequence[str],
        folder: pathlib.Path,
    ) -> None:
        self._plan = plan
        self._serve_command = tuple(serve_command)
        self._folder = folder
        self._group = children.ChildGroup(folder)
        self._entries: list[Entry] = []
        self._entry_children: dict[str, children.Child] = {}
        self._workers: dict[str, str] = {}
        self._runners: dict[str, str] = {}

    async def run(self) -> int:
        """Runs all steps and ends all children; returns the exit code."""
        started = time.monotonic()
        try:
            platform_address = await self._start_standins()
            await self._start_entries(platform_address)
            history, steps, callers = await self._run_steps()
        except (children.ChildError, OSError) as error:
            print(f"demo: {error}", file=sys.stderr)
            return 2
        finally:
            await self._group.end_all()
        violations = checks.check_history(history)
        print(self._format_report(history, steps, callers))
        for violation in violations:
            print(f"BROKEN {violation}")
        for fault in steps.faults:
            print(f"FAILED {fault}")
        print(f"took {time.monotonic() - started:.1f} s")
        if violations:
            return 1
        return 2 if steps.faults else 0

    async def _start_standins(self) -> str:
        platform_address = await self._group.start_standin(
            "platform", "standins.platform", "--lag-ms", "1000"
        )
        instances: list[dict[str, typing.Any]] = []
        starts = [
            self._start_backend(platform_address, centre, number)
            for centre, _ in _DATA_CENTRES
            for number in range(_WORKERS_PER_CENTRE)
        ]
        instances += await asyncio.gather(*starts)
        ports = children.choose_free_ports(
            3 * len(_DATA_CENTRES) * _ENTRIES_PER_CENTRE
        )
        addresses = [f"127.0.0.1:{port}" for port in ports]
        for centre, region in _DATA_CENTRES:
            for number in range(_ENTRIES_PER_CENTRE):
                own = [addresses.pop() for _ in range(3)]
                name = f"{centre}-entry-{number}"
                self._entries.append(Entry(name, centre, region, *own))
                instances.append(
                    {
                        "id": name,
                        "role": "entry",
                        "state": "live",
                        "data_centre": centre,
                    }
                )
        await _post(platform_address, "/admin/instances", {"set": instances})
        return platform_address

    async def _start_backend(
        self, platform_address: str, centre: str, number: int
    ) -> dict[str, typing.Any]:
        name = f"{centre}-worker-{number}"
        self._workers[name] = await self._group.start_standin(
            name,
            "standins.worker",
            "--name",
            name,
            "--store",
            platform_address,
            "--processors",
            str(_CAPACITY.processors),
            "--memory-mb",
            str(_CAPACITY.memory_mb),
        )
        if number < _RUNNERS_PER_CENTRE:
            self._runners[name] = await self._group.start_standin(
                f"{name}-runner",
                "standins.runner",
                "--name",
                f"{name}-runner",
                "--seed",
                str(number),
            )
        return {
            "id": name,
            "role": "backend",
            "state": "live",
            "data_centre": centre,
            "rack": f"{centre}-rack-{number}",
            "worker_address": self._workers[name],
            "runner_address": self._runners.get(name),
            "service": _SERVICE if name in self._runners else None,
            **records.encode(_CAPACITY),
        }

    async def _start_entries(self, platform_address: str) -> None:
        for entry in self._entries:
            settings = self._folder / f"{entry.name}.json"
            settings.write_text(build_settings_text(entry, platform_address))
            self._entry_children[entry.name] = await self._group.start(
                entry.name,
                [*self._serve_command, "--settings", str(settings)],
            )
        give_up_at = time.monotonic() + _HEALTHY_SECONDS
        for entry in self._entries:
            await self._wait_healthy(entry, give_up_at)

    async def _wait_healthy(self, entry: Entry, give_up_at: float) -> None:
        child = self._entry_children[entry.name]
        while time.monotonic() < give_up_at:
            if child.process.returncode is not None:
                break
            with contextlib.suppress(OSError):
                await _get(entry.caller_address, "/v1/health")
                return
            await asyncio.sleep(_POLL_SECONDS)
        raise children.ChildError(
            f"{entry.name} is not healthy:\n{child.read_log_tail()}"
        )

    async def _run_steps(
        self,
    ) -> tuple[checks.History, Steps, tuple[records.CallerRequest, ...]]:
        plan = self._plan
        pool = load.EntryPool(
            [entry.caller_address for entry in self._entries],
            plan.requests.max_in_flight + 2 * len(self._entries),
        )
        prober = asyncio.create_task(pool.run())
        generator = load.LoadGenerator(pool, plan.requests)
        try:
            submitted, _, killed_at, stopped, change = await asyncio.gather(
                self._submit_jobs(pool),
                generator.run(),
                self._kill_entry(),
                self._stop_entry(),
                self._change_declarations(),
            )
            is_settled = await self._wait_settled()
        finally:
            prober.cancel()
            await asyncio.gather(prober, return_exceptions=True)
            pool.close()
        faults = [*submitted, *change[1], *stopped[2], *self._list_ended()]
        if not is_settled:
            faults.append("not all tasks ended in time")
        steps = Steps(
            killed_at, stopped[0], stopped[1], change[0], tuple(faults)
        )
        history = checks.History(
            await self._read_workers(),
            await self._read_runners(),
            generator.history,
            killed_at,
        )
        return history, steps, generator.history

    async def _submit_jobs(self, pool: load.EntryPool) -> list[str]:
        plan = self._plan
        refused = []
        for job in plan.jobs:
            if not await load.submit_job(pool, job):
                refused.append(f"job {job.job} was not accepted")
        await asyncio.sleep(plan.urgent_at)
        if not await load.submit_job(pool, plan.urgent_job):
            refused.append("the urgent job was not accepted")
        return refused

    async def _kill_entry(self) -> tuple[float, ...]:
        if self._plan.kill_at is None:
            return ()
        await asyncio.sleep(self._plan.kill_at)
        self._entry_children[self._entries[0].name].process.kill()
        return (time.time(),)

    async def _stop_entry(self) -> tuple[int | None, float, list[str]]:
        if self._plan.stop_at is None:
            return None, 0.0, []
        await asyncio.sleep(self._plan.stop_at)
        child = self._entry_children[self._entries[-1].name]
        started = time.monotonic()
        faults = []
        if child.process.returncode is None:
            child.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(child.process.wait(), 20.0)
        except asyncio.TimeoutError:
            faults.append(f"{child.name} did not stop within 20 s")
        code = child.process.returncode
        if code:
            faults.append(f"{child.name} ended with code {code}")
        return code, time.monotonic() - started, faults

    async def _change_declarations(self) -> tuple[float | None, list[str]]:
        if self._plan.change_at is None:
            return None, []
        await asyncio.sleep(self._plan.change_at)
        try:
            base = await self._read_version(self._entries[1])
            await _post(
                self._entries[1].operator_address,
                "/v1/configuration",
                build_change(base),
                _TOKEN,
            )
            started = time.monotonic()
            while time.monotonic() < started + 15.0:
                versions = await asyncio.gather(
                    *(
                        self._read_version(entry)
                        for entry in self._entries
                        if self._is_running(entry)
                    ),
                    return_exceptions=True,
                )
                if all(isinstance(v, int) and v > base for v in versions):
                    return time.monotonic() - started, []
                await asyncio.sleep(_POLL_SECONDS)
        except (OSError, ValueError) as error:
            return None, [f"declaration change: {error}"]
        return None, ["declaration change was not in force within 15 s"]

    def _list_ended(self) -> list[str]:
        """Returns a text for each instance that ended on its own."""
        expected = set()
        if self._plan.kill_at is not None:
            expected.add(self._entries[0].name)
        if self._plan.stop_at is not None:
            expected.add(self._entries[-1].name)
        return [
            f"{name} ended on its own with code"
            f" {child.process.returncode}:\n{child.read_log_tail()}"
            for name, child in self._entry_children.items()
            if name not in expected and child.process.returncode is not None
        ]

    def _is_running(self, entry: Entry) -> bool:
        return self._entry_children[entry.name].process.returncode is None

    async def _read_version(self, entry: Entry) -> int:
        content = await _get(
            entry.operator_address, "/v1/configuration", _TOKEN
        )
        return int(content.get("version", 0))

    async def _wait_settled(self) -> bool:
        """Waits until every task has finished on some worker."""
        expected = self._count_expected()
        give_up_at = time.monotonic() + self._plan.settle_seconds
        while time.monotonic() < give_up_at:
            if _count_finished(await self._read_workers()) >= expected:
                return True
            await asyncio.sleep(_POLL_SECONDS)
        return False

    def _count_expected(self) -> int:
        jobs = (*self._plan.jobs, self._plan.urgent_job)
        return sum(job.task_count for job in jobs)

    async def _read_workers(self) -> tuple[records.WorkerRecords, ...]:
        found = await asyncio.gather(
            *(_get(at, "/admin/records") for at in self._workers.values())
        )
        return tuple(
            records.decode(item, records.WorkerRecords) for item in found
        )

    async def _read_runners(self) -> tuple[records.RunnerRecords, ...]:
        found = await asyncio.gather(
            *(_get(at, "/admin/records") for at in self._runners.values())
        )
        return tuple(
            records.decode(item, records.RunnerRecords) for item in found
        )

    def _format_report(
        self,
        history: checks.History,
        steps: Steps,
        callers: tuple[records.CallerRequest, ...],
    ) -> str:
        broken = [item.rule for item in checks.check_history(history)]
        evictions = sum(
            event.kind is records.EventKind.STOP
            for worker in history.workers
            for event in worker.events
        )
        done = _count_finished(history.workers)
        change = steps.change_seconds
        rows = {
            "tasks done": f"{done} of {self._count_expected()}",
            "evictions": str(evictions),
            "double runs": str(broken.count(checks.Rule.DOUBLE_RUN)),
            "over-commitments": str(broken.count(checks.Rule.OVER_COMMITMENT)),
            "most slots in use": str(
                max(item.max_slots for item in history.runners)
            ),
            "most connections": str(
                max(item.max_connections for item in history.runners)
            ),
            "planned stop": (
                f"exit {steps.stop_code} after {steps.stop_seconds:.1f} s"
            ),
            "configuration in force": (
                "no" if change is None else f"everywhere after {change:.1f} s"
            ),
            "guarantees broken": str(len(broken)),
        }
        return "\n".join(
            [
                load.format_summary(callers),
                "",
                *(f"{name:24}{text}" for name, text in rows.items()),
            ]
        )


def _count_finished(workers: Sequence[records.WorkerRecords]) -> int:
    return len(
        {
            event.task
            for worker in workers
            for event in worker.events
            if event.kind is records.EventKind.FINISH
        }
    )


async def _get(
    address: str, path: str, token: str | None = None
) -> dict[str, typing.Any]:
    return await _fetch("GET", address, path, None, token)


async def _post(
    address: str,
    path: str,
    content: Mapping[str, typing.Any],
    token: str | None = None,
) -> dict[str, typing.Any]:
    body = json.dumps(content).encode()
    return await _fetch("POST", address, path, body, token)


async def _fetch(
    method: str,
    address: str,
    path: str,
    body: bytes | None,
    token: str | None,
) -> dict[str, typing.Any]:
    """Returns the JSON object of an answer, or an empty one.

    Raises:
        OSError: There was no answer, or its status is no success.
    """
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    try:
        response = await httpclient.AsyncHTTPClient().fetch(
            f"http://{address}{path}",
            method=method,
            body=body,
            headers=headers,
            connect_timeout=2.0,
            request_timeout=5.0,
        )
    except httpclient.HTTPError as error:
        detail = error.response.body[:500] if error.response else b""
        raise OSError(
            f"{method} {path}: {error} {detail.decode('utf-8', 'replace')}"
        ) from error
    try:
        content = json.loads(response.body)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}


async def run_demo(
    plan: DemoPlan,
    serve_command: Sequence[str],
    folder: pathlib.Path | None = None,
) -> int:
    """Runs the demonstration; returns the exit code.

    Args:
        plan: Steps and times.
        serve_command: Command that starts an entry instance.
        folder: Where settings and logs stay; None for a temporary folder.
    """
    task = asyncio.current_task()
    if task is not None:
        # A SIGTERM must end the children too.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    with contextlib.ExitStack() as stack:
        if folder is None:
            temporary = tempfile.TemporaryDirectory(prefix="tamarackhatch-")
            folder = pathlib.Path(stack.enter_context(temporary))
        folder.mkdir(parents=True, exist_ok=True)
        return await Demo(plan, serve_command, folder).run()


def main() -> None:
    """Runs the demonstration from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--serve-command",
        default=shlex.join(_SERVE_COMMAND),
        help="command that starts an entry instance",
    )
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument(
        "--folder", type=pathlib.Path, help="keeps settings and logs here"
    )
    options = parser.parse_args()
    plan = DemoPlan(requests=load.LoadPlan(_SERVICE, seed=options.seed))
    command = shlex.split(options.serve_command)
    sys.exit(asyncio.run(run_demo(plan, command, options.folder)))


if __name__ == "__main__":
    main()
