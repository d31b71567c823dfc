"""Starts runners as processes, and collects what they observe."""

import asyncio
import signal
import sys
import typing

import orjson

from standins import history

_MODULE = "soak._runner_process"


class RunnerProcess:
    """One runner process, whose observations go to a history."""

    def __init__(self, observed: history.History) -> None:
        self._history = observed
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    async def open(self, identifier: str, kill_s: float) -> str:
        """Starts the process, and returns its address."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            _MODULE,
            identifier,
            str(kill_s),
            stdout=asyncio.subprocess.PIPE,
        )
        assert self._process.stdout is not None
        address = (await self._process.stdout.readline()).decode().strip()
        self._reader = asyncio.create_task(self._collect())
        return address

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, unless it has ended."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def close(self) -> None:
        """Ends the process."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        if self._reader is not None:
            await self._reader

    async def _collect(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        async for line in self._process.stdout:
            kind, values = orjson.loads(line)
            self._apply(kind, values)

    def _apply(self, kind: str, values: list[typing.Any]) -> None:
        observed = self._history
        if kind == "start":
            observed.runs.append(history.RunRecord(*values))
            # Lines of other processes may have arrived before this one.
            observed.runs.sort(key=lambda run: run.started)
        elif kind == "exit":
            observed.record_exit(*values)
        elif kind == "expiry":
            observed.record_expiry(*values)
        else:
            observed.record_acknowledgement(*values)
