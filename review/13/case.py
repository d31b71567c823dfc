"""Shows whether a late order of a killed scheduler repeats finished tasks.

Three real processes, 24 stand-in runners and a stand-in store on loopback
addresses; clients hand in small jobs. Then, not with TROUBLE=0, 6 % of the
starts of 0.4 s get no answer and are carried out 6 s later. The active
scheduler is killed at the end of that, and its process starts again. When its
last orders are carried out, three runners have just crashed and are back. No
task may be started after it has ended `done`.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

import orjson
from tornado import httpclient

from standins import network
from standins import processes
from standins import runner
from tamarackhatch import model

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 1
RECORD = pathlib.Path(__file__).with_name("record.txt")
PREFIX = "/rota/"
# Bounds of a small deployment (brindle-rota).
BOUNDS = {
    "apply_configuration_ms": 2500,
    "contact_ms": 4000,
    "max_lease_ms": 6000,
    "grace_s": 6,
    "status_retention_s": 120,
    "remote_slowdown": 2,
    "stop_timeout_ms": 400,
    "restore_ms": 600,
    "checkpoint_interval_s": 2,
}
RUNNERS = 24
# Three of 24 runners crash in each round; the site's largest share is 0.14.
GROUP = 3
WORK_S = 0.3
# The site's largest dose is 0.063, for 5.2 s.
LATE_SHARE = 0.06
LATE_FOR_S = 0.4
DELAY_S = 6.0
CRASH_S = 0.06
CLIENTS = 4
ROUNDS = 7
RESTART_S = 1.3
_random = random.Random(SEED)
_began = time.monotonic()
_record = RECORD.open("w")


def note(text: str) -> None:
    _record.write(f"{time.monotonic() - _began:8.3f} s  {text}\n")
    _record.flush()


class Runner(runner.RunnerStandIn):
    """Runner that leaves starts unanswered and carries them out late."""

    is_late = False

    async def handle(self, request):
        if (
            self.is_late
            and request.path == runner.START_PATH
            and _random.random() < LATE_SHARE
        ):
            asyncio.get_running_loop().call_later(
                DELAY_S, lambda: asyncio.ensure_future(self._obey(request))
            )
            raise network.NoResponseError
        return await super().handle(request)

    async def _obey(self, request) -> None:
        task, run = request.body["task"], request.body["run"]
        try:
            response = await super().handle(request)
        except network.BrokenConnectionError:
            return
        if response.status == 200:
            note(f"{self.identifier} carries out late: {task} run {run}")

    def _start(self, body):
        response = super()._start(body)
        note(
            f"{self.identifier} start {body['task']} run {body['run']}:"
            f" {response.status} {response.body.get('reason', '')}"
        )
        return response

    def go_down(self) -> None:
        note(f"{self.identifier} crashes")
        self.crash(resets_connections=True)
        self.is_down = True
        self._wake_renewals()

    def go_up(self, store) -> None:
        self._incarnation = int(time.time() * 1000)
        self._reset_incarnation = self._incarnation
        self._restart()
        self.register(store)
        note(f"{self.identifier} is up again")


def plan(task: str, run: int) -> tuple[float, str]:
    return WORK_S, "done"


class Clients:
    def __init__(self, fleet: processes.ProcessFleet) -> None:
        self._fleet = fleet
        self._http = httpclient.AsyncHTTPClient(max_clients=100)
        self._count = 0

    async def submit(self) -> None:
        self._count += 1
        identifier = f"{self._count:015x}1"
        step = {"count": 10, "cpu": 500, "mem_mb": 100}
        step["est_runtime_ms"] = 300
        body = orjson.dumps({"spec": "work", "steps": [step]})
        self._fleet.history.accepted.add(identifier)
        for name in sorted(self._fleet.processes) * 2:
            address = self._fleet.get_address(name)
            try:
                answer = await self._http.fetch(
                    f"http://{address}{PREFIX}{identifier}",
                    method="POST",
                    body=body,
                    headers={"Host": processes.HOST, "X-Deadline-Ms": "3000"},
                    request_timeout=3.0,
                    raise_error=False,
                )
            except Exception as error:
                note(f"POST {identifier} at {name}: {error!r}")
                continue
            note(f"POST {identifier} at {name}: {answer.code}")
            if answer.code in (200, 429, 503):
                return

    async def work(self) -> None:
        while True:
            await self.submit()
            await asyncio.sleep(0.05)


async def run_case(folder: pathlib.Path) -> int:
    fleet = processes.ProcessFleet(folder, max_attempts=2)
    fleet.store.latency_s = 0.004
    fleet.publish_configuration(1, [PREFIX])
    for index in range(RUNNERS):
        item = Runner(
            f"r{index:03}",
            "",
            processes.SERVICE,
            plan,
            fleet.history,
            capacity=model.Resources(32_000, 128_000),
            incarnation=int(time.time() * 1000),
        )
        item.labels = ["a", "r1-0"]
        item.gets_new_identifier = False
        fleet.add_runner(item)
    try:
        await asyncio.gather(
            *(
                fleet.start_instance(
                    f"edge-{number}", has_internal_address=True, bounds=BOUNDS
                )
                for number in range(1, 4)
            )
        )
        note("three processes are ready")
        return await play(fleet, Clients(fleet))
    finally:
        await fleet.close()


async def kill_scheduler(fleet) -> None:
    """Kills the active scheduler; its process starts again."""
    name = await fleet.find_scheduler()
    note(f"{name}, the active scheduler, is killed")
    process = fleet.remove_instance(name)
    process.kill()
    await process.wait()
    await asyncio.sleep(RESTART_S)
    await fleet.start_instance(name, has_internal_address=True, bounds=BOUNDS)
    note(f"{name} is ready again")


async def play_once(fleet, clients, number: int) -> None:
    """Plays the disruptions once."""
    loop = asyncio.get_running_loop()
    traffic = [asyncio.create_task(clients.work()) for _ in range(CLIENTS)]
    await asyncio.sleep(2)
    if TROUBLE:
        note("starts are late from now on")
        for item in fleet.runners:
            item.is_late = True
    await asyncio.sleep(LATE_FOR_S)
    killed = loop.time()
    restart = None
    if TROUBLE:
        restart = asyncio.create_task(kill_scheduler(fleet))
    # Nothing more is handed in, so that runners get few other commands.
    for task in traffic:
        task.cancel()
    for item in fleet.runners:
        item.is_late = False
    # Orders of the last moments before the kill are carried out from now on.
    await asyncio.sleep(killed + DELAY_S - 0.45 - loop.time())
    first = number * GROUP
    group = fleet.runners[first : first + GROUP]
    if TROUBLE:
        for item in group:
            item.go_down()
    await asyncio.sleep(CRASH_S)
    if TROUBLE:
        for item in group:
            item.go_up(fleet.store)
    await asyncio.sleep(2)
    if restart is not None:
        await restart


async def play(fleet, clients) -> int:
    await asyncio.sleep(3)
    for number in range(ROUNDS):
        await play_once(fleet, clients, number)
    await asyncio.sleep(14)
    found = [item for item in fleet.check() if item.rule == "TWICE"]
    for item in found:
        note(f"TWICE: {item.task}: {item.detail}")
    return 1 if found else 0


def main() -> int:
    # A run that is ended from outside ends its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    note(f"trouble: {TROUBLE}")
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = asyncio.run(run_case(pathlib.Path(folder)))
        except Exception as error:
            note(f"the case could not run: {error!r}")
            result = 2
    note("the rule is broken" if result == 1 else f"result {result}")
    return result


if __name__ == "__main__":
    sys.exit(main())
