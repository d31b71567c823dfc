"""Callers that submit the jobs of a play at its rates."""

import asyncio
from collections.abc import Sequence
import math
import random

import orjson

from soak import _callers
from soak import _checks
from soak.rota import _traffic
from standins import processes
from tamarackhatch import model

_POLL_INTERVALS_S = (0.6, 1.4)
# A write that a link holds back arrives at the latest after this time.
_LATE_WRITE_S = 15.0
# Tasks that last may fail any number of times.
_UNLIMITED = 1_000_000


class Callers(_callers.Callers):
    """All callers of a play."""

    def __init__(
        self,
        fleet: processes.ProcessFleet,
        checks: _checks.Checks,
        seed: int,
        arrivals: Sequence[_traffic.Arrival],
    ) -> None:
        super().__init__(fleet, checks, seed)
        self.prefixes = [kind.prefix for kind in _traffic.KINDS]
        self._arrivals = arrivals
        # Jobs in the order of their submissions.
        self._open: dict[str, None] = {}
        self._cancelled_jobs: set[str] = set()

    async def run(self) -> None:
        """Submits the jobs when they are due."""
        start = self._time()
        for arrival in self._arrivals:
            await asyncio.sleep(start + arrival.time - self._time())
            if self._is_stopping:
                return
            self._start(self._follow(arrival))
            if arrival.repeated_after < math.inf:
                self._start(self._repeat(arrival))

    def cancel_share(self, share: float) -> None:
        """Cancels a share of the open jobs."""
        for job in self._open:
            if self._random.random() < share:
                self._cancelled_jobs.add(job)

    async def _repeat(self, arrival: _traffic.Arrival) -> None:
        """Submits an accepted job once more, seconds after the answer."""
        while not self._checks.is_accepted(arrival.job):
            await asyncio.sleep(0.2)
            if self._is_stopping:
                return
        await asyncio.sleep(arrival.repeated_after)
        path = arrival.kind.prefix + arrival.job
        await self._call("POST", path, orjson.dumps(arrival.document))

    async def _follow(self, arrival: _traffic.Arrival) -> None:
        self._open[arrival.job] = None
        try:
            await self._submit_and_ask(arrival)
        finally:
            del self._open[arrival.job]

    async def _submit_and_ask(self, arrival: _traffic.Arrival) -> None:
        """Submits a job, and asks for its state until it has ended."""
        job, path = arrival.job, arrival.kind.prefix + arrival.job
        attempts = arrival.kind.max_attempts
        if arrival.kind.is_long_running:
            attempts = _UNLIMITED
        self._checks.record_submission(job, arrival.document, attempts)
        body = orjson.dumps(arrival.document)
        is_stored = await self._send("POST", path, body)
        if is_stored is not None:
            self._checks.record_outcome(job, is_stored)
        cancel_time = self._time() + arrival.cancelled_after
        give_up_time = self._time() + _LATE_WRITE_S
        is_cancelled = False
        while is_stored is not False and not self._checks.is_finished(job):
            is_due = (
                self._time() >= cancel_time
                or job in self._cancelled_jobs
                or (arrival.kind.is_long_running and self._is_stopping)
            )
            if is_due and not is_cancelled:
                if await self._send("DELETE", path, is_absence_final=True):
                    self._checks.record_cancellation(job)
                    is_cancelled = True
            began = self._time()
            status, answer = await self._call("GET", path)
            if status == 200:
                state = model.JobState(orjson.loads(answer)["state"])
                self._checks.record_state(job, began, state)
            elif status == 410:
                self._checks.record_absence(job, began)
                if is_stored is None and began > give_up_time:
                    return
            source = random.Random(f"{job} {began}")
            await asyncio.sleep(source.uniform(*_POLL_INTERVALS_S))
