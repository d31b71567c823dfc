"""Stand-in for a runner: the back end of a service.

Started as ``python -m standins.runner --name N ...``. It answers queries
(``GET /eligibility/...``), renewals (``POST /renewals``) and watches (``GET
/roster/MARKET?after=N``, held until the roster changes or the deadline is
near). ``POST /admin/faults`` sets faults, ``GET /admin/records`` returns what
ran. Each run of a request is recorded, also when its ID repeats.
"""

import argparse
import asyncio
import datetime
import hashlib
import json
import math
import random
import time
import typing

import attrs
from tornado import httpserver
from tornado import iostream
from tornado import web

from standins import records
from standins import serving

_DEFAULT_DEADLINE_SECONDS = 10.0
# A watch ends this long before its deadline, so that the answer arrives.
_WATCH_MARGIN_SECONDS = 0.2
_WATCH_STEP_SECONDS = 0.05


@attrs.define
class Faults:
    """Faults in force.

    Attributes:
        refuse: Answers every request with 503 and runs nothing.
        close_before: Coming requests whose connection closes before they
            run.
        stall: Coming requests that run until their deadline, unanswered.
        close_mid_answer: Coming requests that run; half the answer is sent.
        wrong_id: Coming requests whose answer echoes another ID.
        slow_factor: Factor on all service times.
    """

    refuse: bool = False
    close_before: int = 0
    stall: int = 0
    close_mid_answer: int = 0
    wrong_id: int = 0
    slow_factor: float = 1.0

    def take(self, name: str) -> bool:
        """Uses up one of the coming requests of a fault, if any is left."""
        left: int = getattr(self, name)
        setattr(self, name, max(left - 1, 0))
        return left > 0


@attrs.frozen
class ServiceTimes:
    """Lognormal service times in milliseconds."""

    query_ms: float = 5.0
    renewal_ms: float = 10.0
    sigma: float = 0.3


class RunnerState:
    """All state of the stand-in."""

    def __init__(
        self,
        runner: str,
        times: ServiceTimes = ServiceTimes(),
        seed: int = 0,
        roster_period_seconds: float = 5.0,
    ) -> None:
        self.faults = Faults()
        self._connections: set[object] = set()
        self._runner = runner
        self._times = times
        self._random = random.Random(seed)
        self._roster_period = roster_period_seconds
        self._runs: list[records.RunnerRequest] = []
        self._slots = 0
        self._max_slots = 0
        self._max_connections = 0
        self._late = 0

    @property
    def runner(self) -> str:
        """Name of the runner."""
        return self._runner

    def note_connection(self, connection: object) -> None:
        """Counts a connection from its first request of the service on.

        Connections of the admin interface are thus left out.
        """
        self._connections.add(connection)
        self._max_connections = max(
            self._max_connections, len(self._connections)
        )

    def drop_connection(self, connection: object) -> None:
        """Learns that a connection closed."""
        self._connections.discard(connection)

    def note_late(self) -> None:
        """Counts a request that came after its deadline and did not run."""
        self._late += 1

    def begin(self, request_id: str, kind: records.RequestKind) -> int:
        """Records the start of a run; returns its number."""
        if kind is not records.RequestKind.WATCH:
            self._slots += 1
            self._max_slots = max(self._max_slots, self._slots)
        self._runs.append(records.RunnerRequest(request_id, kind, time.time()))
        return len(self._runs) - 1

    def end(self, number: int, status: int | None, body: bytes) -> None:
        """Records the end of a run; a None status means no answer."""
        run = self._runs[number]
        if run.kind is not records.RequestKind.WATCH:
            self._slots -= 1
        self._runs[number] = attrs.evolve(
            run,
            ended_at=time.time(),
            status=status,
            digest=hashlib.sha256(body).hexdigest(),
        )

    def draw_seconds(self, kind: records.RequestKind) -> float:
        """Returns the service time of the next request."""
        is_query = kind is records.RequestKind.QUERY
        median = self._times.query_ms if is_query else self._times.renewal_ms
        drawn = self._random.lognormvariate(
            math.log(median), self._times.sigma
        )
        return drawn * self.faults.slow_factor / 1000

    def get_roster_version(self) -> int:
        """Returns the version of every roster; all runners agree on it."""
        return int(time.time() / self._roster_period)

    def get_records(self) -> records.RunnerRecords:
        """Returns everything recorded."""
        return records.RunnerRecords(
            self._runner,
            tuple(self._runs),
            self._max_slots,
            self._max_connections,
            self._late,
        )


class _Server(httpserver.HTTPServer):
    """Tells the state when a connection closes."""

    state: RunnerState | None = None

    def on_close(self, server_conn: object) -> None:
        if self.state is not None:
            self.state.drop_connection(server_conn)
        super().on_close(server_conn)


class _ServiceHandler(serving.JsonHandler):
    """Runs one request within its deadline."""

    kind = records.RequestKind.QUERY

    def initialize(self, state: RunnerState) -> None:
        self._state = state

    async def serve_request(self, subject: str) -> None:
        """Runs the request, records the run and answers."""
        state = self._state
        state.note_connection(self.request.server_connection)
        request_id = self.request.headers.get("Request-Id", "")
        deadline = self._read_deadline()
        if state.faults.refuse:
            self.write_json({"reason": "fault"}, 503)
            return
        if state.faults.take("close_before"):
            self.close_connection()
            return
        if deadline <= time.time():
            state.note_late()
            self.write_json({"reason": "after the deadline"}, 504)
            return
        number = state.begin(request_id, self.kind)
        is_stalled = state.faults.take("stall")
        is_done = await self.work(deadline, is_stalled)
        if is_stalled:
            state.end(number, None, b"")
            self.close_connection()
            return
        status, body = self._build_answer(request_id, subject, is_done)
        if state.faults.take("close_mid_answer"):
            state.end(number, None, b"")
            await self._send_half(body)
            return
        state.end(number, status, body)
        if state.faults.take("wrong_id"):
            request_id = f"not-{request_id}"
        self.set_header("Request-Id", request_id)
        self.set_status(status)
        if status != 204:
            self.set_header("Content-Type", "application/json")
        self.finish(body or None)

    async def work(self, deadline: float, is_stalled: bool) -> bool:
        """Works until done or the deadline; tells whether it is done."""
        wanted = self._state.draw_seconds(self.kind)
        allowed = deadline - time.time()
        if is_stalled:
            wanted = allowed + 1
        await asyncio.sleep(max(min(wanted, allowed), 0))
        return wanted <= allowed

    def build_content(self, subject: str) -> dict[str, typing.Any] | None:
        """Returns the answer of work that is done; None for no change."""
        return {"eligible": len(subject) % 2 == 0}

    def _build_answer(
        self, request_id: str, subject: str, is_done: bool
    ) -> tuple[int, bytes]:
        if not is_done:
            return 504, json.dumps({"reason": "deadline"}).encode()
        content = self.build_content(subject)
        if content is None:
            return 204, b""
        content.update(
            request_id=request_id, subject=subject, runner=self._state.runner
        )
        return 200, json.dumps(content).encode()

    def _read_deadline(self) -> float:
        text = self.request.headers.get("Request-Deadline")
        if text is None:
            return time.time() + _DEFAULT_DEADLINE_SECONDS
        try:
            return datetime.datetime.fromisoformat(text).timestamp()
        except ValueError as error:
            raise web.HTTPError(400) from error

    async def _send_half(self, body: bytes) -> None:
        stream = self.detach()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            await stream.write(head.encode() + body[: len(body) // 2])
        except iostream.StreamClosedError:
            pass
        stream.close()
        self._finished = True


class _QueryHandler(_ServiceHandler):
    async def get(self, subject: str) -> None:
        await self.serve_request(subject)


class _RenewalHandler(_ServiceHandler):
    kind = records.RequestKind.RENEWAL

    async def post(self) -> None:
        await self.serve_request(str(self.read_json().get("badge", "")))

    def build_content(self, subject: str) -> dict[str, typing.Any] | None:
        return {"is_renewed": True}


class _WatchHandler(_ServiceHandler):
    kind = records.RequestKind.WATCH

    async def get(self, market: str) -> None:
        self._after = int(self.get_query_argument("after", "0"))
        await self.serve_request(market)

    async def work(self, deadline: float, is_stalled: bool) -> bool:
        end = deadline if is_stalled else deadline - _WATCH_MARGIN_SECONDS
        while time.time() < end and not self.gone.is_set():
            if self._has_changed() and not is_stalled:
                break
            await asyncio.sleep(_WATCH_STEP_SECONDS)
        return True

    def build_content(self, subject: str) -> dict[str, typing.Any] | None:
        if not self._has_changed():
            return None
        return {"version": self._state.get_roster_version()}

    def _has_changed(self) -> bool:
        return self._state.get_roster_version() > self._after


class _FaultsHandler(serving.JsonHandler):
    def initialize(self, state: RunnerState) -> None:
        self._state = state

    def post(self) -> None:
        """Replaces all faults; a key that is left out is no fault."""
        try:
            self._state.faults = Faults(**self.read_json())
        except TypeError as error:
            raise web.HTTPError(400) from error
        self.write_json({})


class _RecordsHandler(serving.JsonHandler):
    def initialize(self, state: RunnerState) -> None:
        self._state = state

    def get(self) -> None:
        self.write_json(records.encode(self._state.get_records()))


def build_server(state: RunnerState) -> httpserver.HTTPServer:
    """Returns the server of the stand-in, not yet listening."""
    settings = {"state": state}
    application = web.Application(
        [
            (r"/eligibility/(.+)", _QueryHandler, settings),
            (r"/renewals", _RenewalHandler, settings),
            (r"/roster/([^/]+)", _WatchHandler, settings),
            (r"/admin/faults", _FaultsHandler, settings),
            (r"/admin/records", _RecordsHandler, settings),
        ],
        log_function=lambda handler: None,
    )
    server = _Server(application)
    server.state = state
    return server


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    serving.add_common_options(parser)
    parser.add_argument("--name", required=True)
    parser.add_argument("--query-ms", type=float, default=5.0)
    parser.add_argument("--renewal-ms", type=float, default=10.0)
    parser.add_argument("--sigma", type=float, default=0.3)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--roster-period", type=float, default=5.0)
    options = parser.parse_args()
    state = RunnerState(
        options.name,
        ServiceTimes(options.query_ms, options.renewal_ms, options.sigma),
        options.seed,
        options.roster_period,
    )

    async def run() -> None:
        await serving.serve_until_signal(build_server(state), options)

    asyncio.run(run())


if __name__ == "__main__":
    main()
