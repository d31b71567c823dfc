"""Shows whether failures of a large job's tasks stop the whole system.

Three real processes, 24 stand-in runners and a stand-in store on loopback
addresses. A job of 2,400 checkpointing tasks that last is at work on a third
of the capacity. Then 3 % of its tasks fail, one after the other (not with
TROUBLE=0). Small jobs are handed in before and after. All tasks have to run
again, and the small jobs have to be completed.
"""

import asyncio
import os
import pathlib
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
RECORD = pathlib.Path(__file__).with_name("record.txt")
PREFIX = "/rota/"
LARGE = "00000000000000aa"
TASKS = 2400
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
CONTACT_S = 4.0
FINISH_S = 14.0
ACK_S = 5.0
RESTART_S = 6.0
IDLE_S = 3.0
LASTS_S = 1e6
# One of 34 tasks fails (less than 3 %), within these seconds from then on.
FAILING = 34
FAILURE_S = (6.0, 30.0)
SMALL_WORK_S = 0.64
_began = time.monotonic()
_record = RECORD.open("w")


def note(text: str) -> None:
    _record.write(f"{time.monotonic() - _began:8.3f} s  {text}\n")
    _record.flush()


class Runner(runner.RunnerStandIn):
    """Runner whose checkpoints have 16 digits."""

    @property
    def listed_ends(self) -> int:
        """Number of runs that have ended."""
        self._update()
        return self._last_exit_number

    @property
    def open_ends(self) -> int:
        """Number of those that nobody has taken note of."""
        return len(self._exits)

    def _get_checkpoint(self, run, time):
        value = super()._get_checkpoint(run, time)
        return f"{int(float(value) * 1000):016x}" if value else ""

    def _start(self, body):
        value = body.get("checkpoint", "")
        if value:
            body = {**body, "checkpoint": str(int(value, 16) / 1000)}
        return super()._start(body)

    def _saves(self, task):
        return task.startswith(LARGE)

    def _list_run(self, run):
        row = super()._list_run(run)
        row[4] = 100  # milliseconds of processor in use, roughly
        return row


def fail_some(fleet, loop) -> set[str]:
    """Lets some tasks that last fail, and returns their names."""
    failing = set()
    first, last = FAILURE_S
    for item in fleet.runners:
        for run in list(item._runs.values()):
            index = int(run.task.rpartition(".")[2])
            if not run.task.startswith(LARGE) or index % FAILING:
                continue
            failing.add(run.task)
            delay = first + (last - first) * index / TASKS
            loop.call_later(delay, fail_run, item, run)
    return failing


def fail_run(item, run) -> None:
    if item._runs.get(run.task) is run:
        run.exit_reason = "failed"
        run.stop_time = asyncio.get_running_loop().time()
        item._wake_renewals()


def plan(task: str, run: int) -> tuple[float, str]:
    return (LASTS_S if task.startswith(LARGE) else SMALL_WORK_S, "done")


def make_job(count: int, **step) -> dict:
    return {
        "spec": "work",
        "steps": [{"count": count, "mem_mb": 64, **step}],
    }


class Clients:
    def __init__(self, fleet: processes.ProcessFleet) -> None:
        self._fleet = fleet
        self._http = httpclient.AsyncHTTPClient()

    async def send(self, method, identifier, document=None, attempts=5):
        """Sends a request, and again to the next process without an answer."""
        names = sorted(self._fleet.processes)
        for attempt in range(attempts):
            name = names[attempt % len(names)]
            address = self._fleet.get_address(name)
            try:
                answer = await self._http.fetch(
                    f"http://{address}{PREFIX}{identifier}",
                    method=method,
                    body=None if document is None else orjson.dumps(document),
                    headers={"Host": processes.HOST, "X-Deadline-Ms": "3000"},
                    request_timeout=3.0,
                    raise_error=False,
                )
            except Exception as error:  # noqa: the record says what it was
                note(f"{method} {identifier} at {name}: {error!r}")
                continue
            body = answer.body.decode(errors="replace")
            note(f"{method} {identifier} at {name}: {answer.code} {body}")
            if answer.code in (200, 410, 429, 503):
                return answer.code, body
            await asyncio.sleep(0.2)
        return 0, ""

    async def get_state(self, identifier):
        code, body = await self.send("GET", identifier)
        return orjson.loads(body).get("state", "") if code == 200 else ""


async def run_case(folder: pathlib.Path) -> int:
    fleet = processes.ProcessFleet(folder, max_attempts=2)
    # A value is base64 of at most row_bytes (65,536) bytes.
    fleet.store.row_bytes = 4 * -(-65_536 // 3)
    fleet.publish_configuration(1, [PREFIX])
    for index in range(24):
        item = Runner(
            f"r{index:03}",
            "",
            processes.SERVICE,
            plan,
            fleet.history,
            capacity=model.Resources(32_000, 128_000),
            incarnation=int(time.time() * 1000),
        )
        item.labels = ["a", f"r1-{index // 8}"]
        item.checkpoint_interval_s = 2.0
        item.restore_s = 0.6
        item.gets_new_identifier = False
        fleet.add_runner(item)
    clients = Clients(fleet)
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
        return await play(fleet, clients)
    finally:
        await fleet.close()


async def play(fleet, clients) -> int:
    await asyncio.sleep(3)
    code, _ = await clients.send(
        "POST",
        LARGE,
        make_job(TASKS, cpu=100, est_runtime_ms=500, checkpointing=True, long_running=True),
    )
    if code != 200:
        note("the large job was not accepted")
        return 2
    small = []

    async def submit_small():
        identifier = f"{len(small) + 0xb00:015x}1"
        code, _ = await clients.send(
            "POST", identifier, make_job(4, cpu=500, est_runtime_ms=700)
        )
        if code == 200:
            small.append(identifier)
        return code

    deadline = time.monotonic() + 40
    while True:
        at_work = count_at_work(fleet, LARGE)
        note(f"{at_work} tasks of the large job are at work")
        if at_work == TASKS:
            break
        if time.monotonic() > deadline:
            note("the large job did not start in time")
            return 2
        await asyncio.sleep(1)
    await asyncio.sleep(4)
    await submit_small()
    await asyncio.sleep(3)
    if await clients.get_state(small[0]) != "completed":
        note("the first small job is not completed before any disruption")
        return 2
    failing = set()
    if TROUBLE:
        failing = fail_some(fleet, asyncio.get_running_loop())
        note(f"{len(failing)} tasks that last fail one after the other")
    for _ in range(8):
        await asyncio.sleep(4)
        await submit_small()
    note("end of the traffic")
    await asyncio.sleep(max(FINISH_S, RESTART_S))
    broken = []
    # LOST: for 3 s a job has nothing running while a task's turn has come.
    idle = {identifier: True for identifier in small}
    stopped = {f"{LARGE}.0.0.{index}" for index in range(TASKS)}
    began = time.monotonic()
    while time.monotonic() - began < IDLE_S + 1:
        for identifier in small:
            if count_at_work(fleet, identifier):
                idle[identifier] = False
        for item in fleet.runners:
            stopped -= item._runs.keys()
        await asyncio.sleep(0.05)
    used = sum(
        get_cpu(task) for item in fleet.runners for task in item.running
    )
    capacity = sum(item.capacity.processors for item in fleet.runners)
    note(f"{used} of {capacity} millicores are in use")
    for identifier in small:
        state = await clients.get_state(identifier)
        if state == "completed":
            continue
        note(f"{identifier} is shown as {state}")
        if not state:
            broken.append(f"{identifier} gets no answer")
        elif idle[identifier] and used * 2 < capacity:
            broken.append(
                f"{identifier} is {state}, and had nothing running for 4 s"
            )
    note(f"{count_at_work(fleet, LARGE)} tasks of the large job are at work")
    if stopped and used * 2 < capacity:
        broken.append(f"{len(stopped)} tasks that last do not run for 4 s")
    # Acks: a fifth of the ends may be open after a calm stretch of ACK_S.
    listed = sum(item.listed_ends for item in fleet.runners)
    unnoted = sum(item.open_ends for item in fleet.runners)
    note(f"of {listed} ends that runners list, {unnoted} are not taken note of")
    broken = [f"LOST: {line}" for line in broken]
    if unnoted * 5 > listed:
        broken.append("Acks: more than a fifth of the ends is open")
    for line in broken:
        note(line)
    note("the rule is broken" if broken else "the rule holds")
    return 1 if broken else 0


def count_at_work(fleet, identifier: str) -> int:
    return sum(
        task.startswith(identifier)
        for item in fleet.runners
        for task in item.running
    )


def get_cpu(task: str) -> int:
    return 100 if task.startswith(LARGE) else 500


def main() -> int:
    note(f"trouble: {TROUBLE}")
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        try:
            result = asyncio.run(run_case(path))
        except Exception as error:  # noqa
            note(f"the case could not run: {error!r}")
            result = 2
        for log in sorted(path.glob("*.log")):
            lines = log.read_text(errors="replace").splitlines()
            chosen = [
                line
                for line in lines
                if "commit_failed" in line
                or "campaign_won" in line
                or "scheduler_ready" in line
            ]
            note(f"{log.name}: {len(lines)} lines, of them {len(chosen)}:")
            for line in chosen[:12]:
                note(f"  {line[:300]}")
    return result


if __name__ == "__main__":
    sys.exit(main())
