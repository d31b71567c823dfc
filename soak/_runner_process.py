"""A runner as a process of its own, which signals stop and continue.

Run as ``python -m soak._runner_process IDENTIFIER KILL_S``. It writes its
address, and then each observation of its runs, as lines of JSON.
"""

import asyncio
import os
import sys
import typing

import orjson

from soak import _callers
from standins import history
from standins import network
from standins import processes
from standins import runner
from standins import servers

_TICK_S = 0.01
# The loop of a process that is neither stopped nor starved is late by less.
_MAX_LATENESS_S = 0.1


class Reporter(history.History):
    """Writes observations, with their times, instead of keeping them."""

    def record_start(
        self,
        runner: str,
        incarnation: int,
        task: str,
        run: int,
        token: int,
        is_late: bool = False,
    ) -> None:
        started = asyncio.get_running_loop().time()
        _write("start", runner, incarnation, task, run, token, started)

    def record_exit(
        self,
        runner: str,
        task: str,
        run: int,
        exit_reason: str,
        time: float,
        exit_number: int = 0,
    ) -> None:
        _write("exit", runner, task, run, exit_reason, time, exit_number)

    def record_expiry(
        self, runner: str, incarnation: int, time: float
    ) -> None:
        _write("expiry", runner, incarnation, time)

    def record_acknowledgement(
        self,
        runner: str,
        incarnation: int,
        exit_number: int,
        time: float | None = None,
    ) -> None:
        if exit_number:
            time = asyncio.get_running_loop().time()
            _write("acknowledgement", runner, incarnation, exit_number, time)


def _write(kind: str, *values: typing.Any) -> None:
    sys.stdout.buffer.write(orjson.dumps([kind, values]) + b"\n")
    sys.stdout.buffer.flush()


class RunnerHost:
    """A runner, and a timer that notices when the process was stopped."""

    def __init__(self, hosted: runner.RunnerStandIn) -> None:
        self._runner = hosted
        self._time = asyncio.get_running_loop().time
        self._due = self._time()
        self._server = servers.StandInServer(self._handle)

    async def run(self) -> None:
        """Serves as long as the process that has started it runs."""
        print(self._server.address, flush=True)
        parent = os.getppid()
        while os.getppid() == parent:
            self._due = self._time() + _TICK_S
            await asyncio.sleep(_TICK_S)
            self._notice_stop()
            # Reading the property kills runs, and records exits.
            _ = self._runner.running

    async def _handle(self, request: network.Request) -> network.Response:
        self._notice_stop()
        return await self._runner.handle(request)

    def _notice_stop(self) -> None:
        if self._time() > self._due + _MAX_LATENESS_S:
            self._due = self._time()
            self._runner.resume()


async def _main(identifier: str, kill_s: float) -> None:
    hosted = runner.RunnerStandIn(
        identifier, "", processes.SERVICE, _callers.plan_run, Reporter()
    )
    hosted.kill_s = kill_s
    await RunnerHost(hosted).run()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], float(sys.argv[2])))
