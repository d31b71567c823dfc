"""Tests the reads of evacuations alone."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import datetime
import os
import typing

import pytest

from standins import history
from standins import virtual_time
from tamarackhatch import model
from tamarackhatch import observability
from tamarackhatch import platform
from tamarackhatch.scheduler import _evacuations

_SECOND = datetime.timedelta(seconds=1)
_BOUND = history.EVACUATION_BOUND_S * _SECOND


class _RowStore:
    """Answers reads from a list of keys, in pages of two rows.

    Attributes:
        keys: Keys of the rows.
        failing_reads: Numbers of the reads that fail, from 1.
        lost_reads: Numbers of the reads that get no answer.
        ranges: First key and end of the range of each read.
        reads: Number of reads so far.
    """

    def __init__(self, keys: list[str]) -> None:
        self.keys = keys
        self.failing_reads: set[int] = set()
        self.lost_reads: Collection[int] = ()
        self.ranges: list[tuple[str, str]] = []
        self.reads = 0

    async def read(
        self,
        table: str,
        partition: str,
        timeout: datetime.timedelta,
        first: str = "",
        end: str = "",
    ) -> model.RowPage:
        """Returns the rows of a range."""
        assert (table, partition) == (platform.OPERATOR_TABLE, "")
        await asyncio.sleep(0.004)
        self.reads += 1
        self.ranges.append((first, end))
        if self.reads in self.lost_reads:
            await asyncio.sleep(timeout.total_seconds())
            raise model.StoreUnavailableError("a test")
        if self.reads in self.failing_reads:
            raise model.StoreUnavailableError("a test")
        keys = sorted(key for key in self.keys if first <= key < end)
        rows = tuple(
            model.Row(model.RowRef(table, partition, key), b"{}", 1)
            for key in keys[:2]
        )
        return model.RowPage(rows, len(keys) > 2, 1)


def _watch(
    store: _RowStore,
    check: Callable[[_evacuations.EvacuationWatcher], typing.Any],
    bound: datetime.timedelta | None = _BOUND,
) -> int:
    """Runs a watcher beside a check; returns how often it has woken."""
    wakes = 0

    def count_wake() -> None:
        nonlocal wakes
        wakes += 1

    async def simulate() -> None:
        clock = virtual_time.VirtualClock(asyncio.get_running_loop())
        descriptor = os.open(os.devnull, os.O_WRONLY)
        sink = observability.LineSink(descriptor, clock, 10)
        watcher = _evacuations.EvacuationWatcher(
            typing.cast(typing.Any, store),
            clock,
            bound,
            count_wake,
            observability.Log(sink, clock, observability.LevelFilter(), "a"),
            observability.Metrics(),
        )
        if watcher.is_enabled:
            task = asyncio.create_task(watcher.run())
        await check(watcher)
        if watcher.is_enabled:
            task.cancel()

    virtual_time.run_virtually(simulate())
    return wakes


def test_all_pages_of_evacuations_are_read_and_nothing_else() -> None:
    """Guards against ignored orders beyond the first page.

    It also guards against a read of the configuration, which is large.
    """
    names = [f"d{number}" for number in range(7)]
    store = _RowStore(
        ["config", "evacuate", "evacuate/", "evacuate0", "z"]
        + [f"evacuate/{name}" for name in names]
    )

    async def check(watcher: _evacuations.EvacuationWatcher) -> None:
        assert watcher.is_evacuated("d9")
        await asyncio.sleep(0.5)
        assert [name for name in names if not watcher.is_evacuated(name)] == []
        assert not watcher.is_evacuated("d9")
        assert watcher.is_evacuated("")
        # The fourth read is that of the last page.
        assert store.reads == 4
        assert {end for _, end in store.ranges} == {"evacuate0"}
        assert min(first for first, _ in store.ranges) == "evacuate/"

    _watch(store, check)


def test_read_that_fails_halfway_changes_nothing() -> None:
    """Guards against half an answer that returns data centres to service."""
    store = _RowStore([f"evacuate/d{number}" for number in range(4)])

    async def check(watcher: _evacuations.EvacuationWatcher) -> None:
        await asyncio.sleep(0.5)
        store.keys.remove("evacuate/d0")
        # The second page of the second read, and the retry.
        store.failing_reads = {4, 5}
        await asyncio.sleep(0.75)
        assert store.reads == 5
        assert all(watcher.is_evacuated(f"d{index}") for index in range(4))
        await asyncio.sleep(0.5)
        assert not watcher.is_evacuated("d0")
        assert all(watcher.is_evacuated(f"d{index}") for index in (1, 2, 3))

    # After the first read, and when d0 has returned.
    assert _watch(store, check) == 2


def test_reads_are_about_one_second_apart() -> None:
    """Guards against a load on the store that grows unnoticed."""
    store = _RowStore(["evacuate/d0"])

    async def check(watcher: _evacuations.EvacuationWatcher) -> None:
        await asyncio.sleep(60)
        assert 55 <= store.reads <= 61

    _watch(store, check)


@pytest.mark.parametrize("bound_s", [0.1, 0.5, 2.0, 5.0, 60.0])
def test_order_counts_within_half_of_any_bound(bound_s: float) -> None:
    """Guards against an interval that does not follow from the bound."""
    store = _RowStore([])

    async def check(watcher: _evacuations.EvacuationWatcher) -> None:
        await asyncio.sleep(bound_s)
        for number in range(20):
            assert not watcher.is_evacuated("d0")
            # At another moment between two reads each time.
            await asyncio.sleep(bound_s * 0.017 * number)
            store.keys.append("evacuate/d0")
            await asyncio.sleep(bound_s / 2)
            assert watcher.is_evacuated("d0")
            store.keys.clear()
            await asyncio.sleep(bound_s)

    _watch(store, check, bound_s * _SECOND)


@pytest.mark.parametrize(
    ("lost_reads", "closed_s"),
    [
        # Two reads in a row are lost.
        (range(2, 4), None),
        # All reads are lost. A start that is sent just before takes 0.8 s.
        (range(2, 99), _BOUND.total_seconds() - 0.8),
    ],
)
def test_nothing_starts_when_an_unread_order_may_count(
    lost_reads: Collection[int], closed_s: float | None
) -> None:
    """Guards against starts after the bound of an order that was not read.

    It also guards against starts that end although few reads are lost.
    """
    store = _RowStore([])
    store.lost_reads = lost_reads

    async def check(watcher: _evacuations.EvacuationWatcher) -> None:
        await asyncio.sleep(0.1)
        closed_at = None
        while (time := asyncio.get_running_loop().time()) < 8:
            if watcher.is_evacuated("d0") and closed_at is None:
                closed_at = time
            await asyncio.sleep(0.01)
        if closed_s is None:
            assert closed_at is None
        else:
            assert closed_at is not None
            assert closed_s - 1 < closed_at <= closed_s

    _watch(store, check)


def test_watcher_without_a_bound_evacuates_nothing() -> None:
    """Guards against starts that wait for reads that nobody makes."""
    store = _RowStore(["evacuate/d0"])

    async def check(watcher: _evacuations.EvacuationWatcher) -> None:
        assert not watcher.is_evacuated("d0")
        assert not watcher.is_evacuated("")

    _watch(store, check, None)
