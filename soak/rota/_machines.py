"""The machines of the runners: their processes, addresses and links."""

import asyncio
import random
import signal
import time

import attrs
import orjson

from soak import _runner_link
from soak.rota import _call_proxy
from soak.rota import _options
from standins import history
from standins import processes
from tamarackhatch import model

_MODULE = "soak.rota._runner_process"
_SIZES = (1.0, 1.0, 1.5)
_PROCESSORS = 32_000
_MEMORY_MB = 128_000
RUNNERS_PER_RACK = 8
DATA_CENTRES = ("seq-toowoomba", "fnq-atherton", "seq-gympie")


class Machine:
    """A machine with one runner process at a time.

    Attributes:
        identifier: Identifier of its runner.
        proxy: Proxy of the calls to its runner.
        is_cut_from_store: Whether its runner cannot reach the store.
        is_up: Whether it has a runner process.
        changes: Held while its runner is killed and started.
    """

    def __init__(
        self,
        index: int,
        seed: int,
        observed: history.History,
        store_address: str,
        bounds: _options.LeaseBounds,
    ) -> None:
        self.identifier = f"r-{index}"
        source = random.Random(f"calls {index} {seed}")
        self.proxy = _call_proxy.CallProxy(source)
        self.is_cut_from_store = False
        self.is_up = False
        self.changes = asyncio.Lock()
        self._index = index
        self._observed = observed
        self._store_address = store_address
        self._bounds = bounds
        self._replacements = 0
        self._incarnation = 0
        self._cuts = 0
        self._starts = 0
        self._random = random.Random(f"machine {index} {seed}")
        self._process: _runner_link.RunnerProcess | None = None

    async def start(self) -> None:
        """Starts a new incarnation of the runner."""
        place = self._index // RUNNERS_PER_RACK
        scale = _SIZES[self._index % len(_SIZES)]
        self._incarnation = time.time_ns() // 1_000_000
        options = _options.Options(
            self.identifier,
            self.proxy.address,
            processes.SERVICE,
            DATA_CENTRES[place],
            f"r{place + 1}",
            int(_PROCESSORS * scale),
            int(_MEMORY_MB * scale),
            self._incarnation,
            self._store_address,
            self._draw_registration(),
            self._bounds.longest_lease_s,
            self._bounds.longest_kill_s,
        )
        capacity = model.Resources(options.processors, options.memory_mb)
        self._observed.record_capacity(self.identifier, capacity)
        process = _runner_link.RunnerProcess(self._observed, _MODULE)
        arguments = orjson.dumps(attrs.asdict(options)).decode()
        address = await process.open(arguments)
        self.proxy.set_target(address, self.identifier)
        self._process = process
        self.is_up = True
        self._set_port()

    def _draw_registration(self) -> float:
        """Returns when a runner registers, in seconds after its start.

        After a restart its next heartbeat may be any time away.
        """
        self._starts += 1
        if self._starts == 1:
            return 0.0
        return self._random.uniform(0.0, _options.HEARTBEAT_INTERVAL_S)

    async def kill(self, is_dark: bool) -> None:
        """Kills the process, and ends its runs at this time.

        Args:
            is_dark: Whether the machine ignores connections from now on;
                otherwise it refuses them.
        """
        process, self._process = self._process, None
        assert process is not None, "the machine has no process"
        now = asyncio.get_running_loop().time()
        self.is_up = False
        process.send_signal(signal.SIGKILL)
        port = _call_proxy.Port
        is_closed = not is_dark and not self._cuts
        self.proxy.set_port(port.CLOSED if is_closed else port.DARK)
        self.proxy.break_connections(is_dark)
        await process.close()
        self._observed.record_end(self.identifier, self._incarnation, now)

    @property
    def exit_code(self) -> int | None:
        """Exit code of a process that ended by itself; None for none."""
        return None if self._process is None else self._process.exit_code

    def rename(self) -> None:
        """Gives the next process of this machine a new identifier."""
        self._replacements += 1
        self.identifier = f"r-{self._index}-{self._replacements}"

    def drain(self) -> None:
        """Has the runner register that it drains."""
        self.send_signal(signal.SIGUSR1)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if there is one."""
        if self._process is not None:
            self._process.send_signal(number)

    def cut(self, requests: bool, answers: bool) -> None:
        """Cuts the link from the instances, in one direction or both."""
        self._cuts += 1
        self.proxy.cut(requests, answers)
        self._set_port()

    def reconnect(self) -> None:
        """Mends the link from the instances."""
        self._cuts -= 1
        if not self._cuts:
            self.proxy.cut(False, False)
            self._set_port()

    def _set_port(self) -> None:
        if self._cuts:
            self.proxy.set_port(_call_proxy.Port.DARK)
        elif self.is_up:
            self.proxy.set_port(_call_proxy.Port.OPEN)

    async def close(self) -> None:
        """Ends everything."""
        if self._process is not None:
            await self._process.close()
        await self.proxy.close()
