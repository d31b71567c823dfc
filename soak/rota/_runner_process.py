"""A runner as a process of its own, which registers itself in the store.

Run as ``python -m soak.rota._runner_process OPTIONS``, with the
`_options.Options` as JSON. SIGUSR1 has the runner drain.
"""

import asyncio
import datetime
import random
import signal
import sys
import typing

import orjson

from soak import _runner_process
from soak.rota import _options
from soak.rota import _traffic
from standins import network
from standins import runner
from tamarackhatch import clock
from tamarackhatch import model
from tamarackhatch import transport

_REGISTRATION_TIMEOUT = datetime.timedelta(seconds=1)
_CHECKPOINT_INTERVAL_S = 2.0
_RESTORE_S = 0.6


class _Runner(runner.RunnerStandIn):
    """Runs tasks as their job's ``spec`` says."""

    def __init__(self, options: _options.Options) -> None:
        super().__init__(
            options.identifier,
            options.address,
            options.service,
            self._plan_run,
            _runner_process.Reporter(),
            model.Resources(options.processors, options.memory_mb),
            options.born,
        )
        self.data_centre = options.data_centre
        self.labels = ["a", options.rack]
        self.enforces_capacity = True
        self.max_lease = datetime.timedelta(seconds=options.longest_lease_s)
        self._longest_kill_s = options.longest_kill_s
        self.checkpoint_interval_s = _CHECKPOINT_INTERVAL_S
        self.restore_s = _RESTORE_S
        self._specs_by_job: dict[str, _traffic.Spec] = {}
        self._random = random.Random(f"{options.identifier} {options.born}")

    async def handle(self, request: network.Request) -> network.Response:
        if request.path == runner.START_PATH:
            self._note_spec(request.body)
        return await super().handle(request)

    def _note_spec(self, body: dict[str, typing.Any]) -> None:
        job = body["task"].split(".")[0]
        if job not in self._specs_by_job:
            spec = _traffic.decode_spec(body["spec"])
            self._specs_by_job[job] = spec
            self._history.record_steps(job, spec.steps)

    def _get_spec(self, task: str) -> _traffic.Spec:
        return self._specs_by_job[task.split(".")[0]]

    def _plan_run(self, task: str, run: int) -> tuple[float, str]:
        return self._get_spec(task).plan_run(task, run)

    def _saves(self, task: str) -> bool:
        return self._get_spec(task).is_checkpointing

    def _get_kill_s(self) -> float:
        return self._random.uniform(0, self._longest_kill_s)


async def _register(
    registered: _Runner, store_address: str, after_s: float
) -> None:
    """Writes the runner's registry entry at each heartbeat, after a while."""
    client = transport.HttpClient(clock.SystemClock(), 2)
    loop = asyncio.get_running_loop()
    changed = asyncio.Event()

    def drain() -> None:
        registered.state = "draining"
        changed.set()

    loop.add_signal_handler(signal.SIGUSR1, drain)
    await asyncio.sleep(after_s)
    while True:
        row = {"table": "servers", "part": "", "key": registered.identifier}
        value = registered.encode_registration()
        call = transport.Call(
            "POST",
            store_address,
            "/-/rows-tx",
            _REGISTRATION_TIMEOUT,
            orjson.dumps({"puts": [{**row, "value": value}]}),
        )
        changed.clear()
        try:
            await client.send(call)
        except (transport.CallLostError, transport.CallNotSentError):
            # The store does not answer; the next heartbeat is due anyway.
            pass
        try:
            async with asyncio.timeout(_options.HEARTBEAT_INTERVAL_S):
                await changed.wait()
        except TimeoutError:
            continue


async def _main(options: _options.Options) -> None:
    hosted = _Runner(options)
    host = _runner_process.RunnerHost(hosted)
    async with asyncio.TaskGroup() as group:
        task = group.create_task(
            _register(hosted, options.store_address, options.registers_after_s)
        )
        await host.run()
        task.cancel()


if __name__ == "__main__":
    asyncio.run(_main(_options.Options(**orjson.loads(sys.argv[1]))))
