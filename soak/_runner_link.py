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

    def __init__(
        self, observed: history.History, module: str = _MODULE
    ) -> None:
        """Creates a runner whose process is not started yet.

        Args:
            observed: Where its observations are recorded.
            module: Module that the process runs.
        """
        self._history = observed
        self._module = module
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process; None while it runs."""
        return None if self._process is None else self._process.returncode

    async def open(self, *arguments: str) -> str:
        """Starts the process, and returns its address."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self._module,
            *arguments,
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
        """Ends the process, and records what it has still observed."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        if self._reader is not None:
            await self._reader

    async def _collect(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        async for line in self._process.stdout:
            # A process that is killed may leave a part of a line.
            if line.endswith(b"\n"):
                kind, values = orjson.loads(line)
                self._apply(kind, values)

    def _apply(self, kind: str, values: list[typing.Any]) -> None:
        observed = self._history
        if kind == "start":
            # Lines of other processes may have arrived before this one.
            observed.add_run(history.RunRecord(*values))
        elif kind == "exit":
            observed.record_exit(*values)
        elif kind == "expiry":
            observed.record_expiry(*values)
        else:
            observed.record_acknowledgement(*values)
