"""Child processes of the demonstration, ended by their process ids."""

import asyncio
from collections.abc import Sequence
import contextlib
import json
import pathlib
import signal
import socket
import sys
import time

import attrs

_READY_SECONDS = 15.0
_END_SECONDS = 3.0
_LOG_TAIL_LINES = 20


class ChildError(Exception):
    """A child process did not start or ended too early."""


@attrs.define
class Child:
    """A process that was started here.

    Attributes:
        name: Name for messages.
        process: The process.
        log: File with what it printed.
    """

    name: str
    process: asyncio.subprocess.Process
    log: pathlib.Path

    def read_log_tail(self) -> str:
        """Returns the last lines that it printed."""
        lines = self.log.read_text("utf-8", "replace").splitlines()
        return "\n".join(f"  {line}" for line in lines[-_LOG_TAIL_LINES:])


class ChildGroup:
    """Starts child processes and ends every one of them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._children: list[Child] = []

    async def start(self, name: str, command: Sequence[str]) -> Child:
        """Starts a process whose output goes to a file."""
        log = self._folder / f"{name}.log"
        with log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                # A terminal's interrupt reaches only the parent, which then
                # ends its children in order.
                start_new_session=True,
            )
        child = Child(name, process, log)
        self._children.append(child)
        return child

    async def start_standin(
        self, name: str, module: str, *options: str
    ) -> str:
        """Starts a stand-in; returns its address once it listens.

        Raises:
            ChildError: It ended, or did not listen in time.
        """
        child = await self.start(
            name,
            [sys.executable, "-m", module, "--exit-with-parent", *options],
        )
        give_up_at = time.monotonic() + _READY_SECONDS
        while time.monotonic() < give_up_at:
            with contextlib.suppress(ValueError, TypeError, KeyError):
                first, separator, _ = child.log.read_text().partition("\n")
                if separator:
                    return f"127.0.0.1:{int(json.loads(first)['port'])}"
            if child.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        raise ChildError(f"{name} did not start:\n{child.read_log_tail()}")

    async def end_all(self) -> int:
        """Ends all children by their ids; returns how many had to be killed.

        Waits a little after SIGTERM before SIGKILL.
        """
        running = [
            child.process
            for child in self._children
            if child.process.returncode is None
        ]
        for process in running:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
        waits = [asyncio.create_task(item.wait()) for item in running]
        if waits:
            await asyncio.wait(waits, timeout=_END_SECONDS)
        killed = [item for item in running if item.returncode is None]
        for process in killed:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        await asyncio.gather(*waits)
        return len(killed)


def choose_free_ports(count: int) -> list[int]:
    """Asks the kernel for ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [int(item.getsockname()[1]) for item in sockets]
    finally:
        for item in sockets:
            item.close()
