"""Tests of the demonstration and of its child processes."""

import asyncio
import os
import pathlib
import sys

import pytest

from standins import children
from standins import demo
from standins import load
from standins import records

_NAIVE = (sys.executable, "-m", "standins.tests.naive_entry")
_NEED = records.Amounts(2_000, 512, 0)
_PLAN = demo.DemoPlan(
    load.LoadPlan("badge", 30, 10, 5, duration=1.0, watch_ms=800),
    (load.JobPlan("a", "t", 4, _NEED, "run_ms=200"),),
    load.JobPlan("b", "t", 2, _NEED, "run_ms=100", is_urgent=True),
    urgent_at=0.2,
    change_at=None,
    kill_at=None,
    stop_at=0.5,
    settle_seconds=8.0,
)


@pytest.mark.parametrize(
    ("command", "code", "text"),
    [
        (_NAIVE, 0, "tasks done              6 of 6"),
        ((*_NAIVE, "--lying"), 1, "BROKEN a request that was called not run"),
        ((sys.executable, "-c", "print('no')"), 2, "is not healthy"),
    ],
)
def test_demo_tells_kept_from_broken(
    command: tuple[str, ...],
    code: int,
    text: str,
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guards against a demonstration that reports success whatever ran."""
    assert asyncio.run(demo.run_demo(_PLAN, command)) == code
    output = capfd.readouterr()
    assert text in output.out + output.err


def test_children_end_even_if_they_ignore_the_signal(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against processes that stay behind on the machine."""
    code = (
        "import signal, time;"
        "signal.signal(signal.SIGTERM, signal.SIG_IGN);"
        "print('ready', flush=True); time.sleep(60)"
    )

    async def run() -> None:
        group = children.ChildGroup(tmp_path)
        child = await group.start("deaf", [sys.executable, "-c", code])
        while "ready" not in child.log.read_text():
            await asyncio.sleep(0.02)
        assert await group.end_all() == 1
        with pytest.raises(ProcessLookupError):
            os.kill(child.process.pid, 0)

    asyncio.run(run())


def test_stand_in_ends_with_its_parent(tmp_path: pathlib.Path) -> None:
    """Guards against stand-ins that outlive a killed demonstration."""
    code = (
        "import subprocess, sys, time\n"
        "child = subprocess.Popen([sys.executable, '-m',"
        " 'standins.platform', '--exit-with-parent'],"
        " stdout=subprocess.PIPE)\n"
        "child.stdout.readline()\n"
        "print(child.pid, flush=True)\n"
        "time.sleep(60)\n"
    )

    async def run() -> None:
        group = children.ChildGroup(tmp_path)
        parent = await group.start("parent", [sys.executable, "-c", code])
        while not (text := parent.log.read_text()).endswith("\n"):
            await asyncio.sleep(0.02)
        parent.process.kill()
        for _ in range(60):
            await asyncio.sleep(0.1)
            # A zombie that nobody waits for counts as ended.
            status = pathlib.Path(f"/proc/{int(text)}/stat")
            if not status.exists() or ") Z " in status.read_text():
                return
        raise AssertionError("the stand-in still runs")

    asyncio.run(run())
