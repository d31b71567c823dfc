"""Shows whether sound jobs are given up because runners go down and up.

Three real processes, 24 stand-in runners and a stand-in store on loopback
addresses. Tasks that last are at work on all runners, and clients hand in
small jobs. Then two runners go down and up by turns for 6.5 s, five times
with pauses, each time other ones (not with TROUBLE=0). No run ends `failed`.
So no job may be shown as `failed`.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

import orjson
from tornado import httpclient

from standins import processes
from standins import runner
from tamarackhatch import model

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = pathlib.Path(__file__).with_name("record.txt")
PREFIX = "/rota/"
MAX_ATTEMPTS = 2
RUNNERS = 24
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
FLAPPING = 2
GAP_S = 1.4
FLAP_S = 6.5
FLAPS = 5
PAUSE_S = 3.0
FINISH_S = 14.0
# Jobs by the first digits of their identifiers: seconds of work of a task.
WORK_S = {"1a57": 1e6, "54a9": 0.64, "b11d": 2.7}
_began = time.monotonic()
_record = RECORD.open("w")


def note(text: str) -> None:
    _record.write(f"{time.monotonic() - _began:8.3f} s  {text}\n")
    _record.flush()


class Runner(runner.RunnerStandIn):
    """Runner that notes how its runs end."""

    def go_down(self) -> None:
        lost = ", ".join(sorted(self._runs))
        note(f"{self.identifier} goes down with {lost or 'no run'}")
        self.crash(resets_connections=True)
        self.is_down = True
        self._wake_renewals()

    def go_up(self, store) -> None:
        self._incarnation = int(time.time() * 1000)
        self._reset_incarnation = self._incarnation
        self._restart()
        self.register(store)
        note(f"{self.identifier} is up again")

    def _record_exit(self, run, exit_reason, exit_time):
        if exit_reason == "failed":
            failed[run.task] = failed.get(run.task, 0) + 1
        super()._record_exit(run, exit_reason, exit_time)

    def _list_run(self, run):
        row = super()._list_run(run)
        row[4] = 5 if run.task.startswith("1a57") else 2000
        return row


failed: dict[str, int] = {}


def plan(task: str, run: int) -> tuple[float, str]:
    return WORK_S[task[:4]], "done"


class Clients:
    def __init__(self, fleet: processes.ProcessFleet) -> None:
        self._fleet = fleet
        self._http = httpclient.AsyncHTTPClient(max_clients=100)
        self._turn = 0
        self.accepted: list[str] = []

    async def send(self, method, identifier, document=None, attempts=5):
        """Sends a request, and again to the next process without an answer."""
        names = sorted(self._fleet.processes)
        for _ in range(attempts):
            self._turn += 1
            name = names[self._turn % len(names)]
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
            except Exception as error:
                note(f"{method} {identifier} at {name}: {error!r}")
                continue
            body = answer.body.decode(errors="replace")
            note(f"{method} {identifier} at {name}: {answer.code} {body}")
            if answer.code in (200, 410, 429, 503):
                return answer.code, body
        return 0, ""

    async def submit(self, kind: str, step: dict) -> None:
        identifier = f"{kind}{len(self.accepted) + 1:012x}"
        self.accepted.append(identifier)
        document = {"spec": "work", "steps": [step]}
        code, _ = await self.send("POST", identifier, document)
        if code != 200:
            self.accepted.remove(identifier)

    async def get_state(self, identifier: str) -> str:
        code, body = await self.send("GET", identifier)
        return orjson.loads(body).get("state", "") if code == 200 else ""

    async def work(self) -> None:
        """Hands in jobs like those of the site until cancelled."""
        count = 0
        while True:
            count += 1
            small = {"count": 6, "cpu": 2300, "mem_mb": 4600}
            await self.submit("54a9", {**small, "est_runtime_ms": 700})
            if count % 2 == 0:
                large = {"count": 8, "cpu": 3500, "mem_mb": 6400}
                await self.submit("b11d", {**large, "est_runtime_ms": 2700})
            await asyncio.sleep(0.3)


async def run_case(folder: pathlib.Path) -> int:
    fleet = processes.ProcessFleet(folder, max_attempts=MAX_ATTEMPTS)
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
        item.labels = ["a", f"r1-{index // 8}"]
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
    lasting = {"count": 12, "cpu": 6400, "mem_mb": 13000, "anti_affinity": 1}
    for _ in range(4):
        await clients.submit("1a57", {**lasting, "long_running": True})
    await asyncio.sleep(4)
    traffic = asyncio.create_task(clients.work())
    await asyncio.sleep(4)
    for turn in range(FLAPS):
        first = 3 + 4 * turn
        flapping = fleet.runners[first : first + FLAPPING]
        if TROUBLE:
            await asyncio.gather(
                *(
                    flap(item, fleet.store, index * GAP_S / FLAPPING)
                    for index, item in enumerate(flapping)
                )
            )
        else:
            await asyncio.sleep(FLAP_S)
        await asyncio.sleep(PAUSE_S)
    traffic.cancel()
    note("end of the traffic")
    await asyncio.sleep(FINISH_S)
    broken = []
    for identifier in clients.accepted:
        state = await clients.get_state(identifier)
        attempts = max(
            (n for task, n in failed.items() if task.startswith(identifier)),
            default=0,
        )
        if state == "failed" and attempts < MAX_ATTEMPTS:
            broken.append(
                f"{identifier} is shown as failed, and its tasks have ended"
                f" failed {attempts} times at most"
            )
        elif not state:
            broken.append(f"{identifier} is not known, or gets no answer")
    for line in broken:
        note(f"LOST: {line}")
    note(f"{len(clients.accepted)} jobs were accepted")
    note("the rule is broken" if broken else "the rule holds")
    return 1 if broken else 0


async def flap(item: Runner, store, delay_s: float) -> None:
    """Lets a runner go down and up by turns."""
    await asyncio.sleep(delay_s)
    end = time.monotonic() + FLAP_S - delay_s
    while time.monotonic() < end:
        item.go_down()
        await asyncio.sleep(GAP_S / 2)
        item.go_up(store)
        await asyncio.sleep(GAP_S / 2)


def main() -> int:
    note(f"trouble: {TROUBLE}")
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        try:
            result = asyncio.run(run_case(path))
        except Exception as error:
            note(f"the case could not run: {error!r}")
            result = 2
        for log in sorted(path.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines():
                if '"job_failed"' in line or '"campaign_won"' in line:
                    note(f"{log.name}: {line[:400]}")
    return result


if __name__ == "__main__":
    sys.exit(main())
