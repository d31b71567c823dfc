"""Bounded load generator: callers of several entry instances.

``python -m standins.load --entry HOST:PORT ...`` sends queries, renewals and
watches, prints a summary and can write the history, one JSON object a line.
"""

import argparse
import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import hashlib
import json
import random
import time
import typing
import uuid

import attrs
from hdrh import histogram
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from standins import records

_OUTCOME_HEADER = "Tamarackhatch-Outcome"
_PROBE_SECONDS = 0.25
_PROBE_TIMEOUT_SECONDS = 1.0
# Callers wait a little longer than the deadline that they give, so that an
# outcome sent at the deadline is not counted as lost.
_GRACE_SECONDS = 2.0
_NOT_SENT = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST}
)
_MAX_LATENCY_US = 120_000_000
_SUBJECTS = 1_000
_MARKETS = 3
_PERCENTILES = (50.0, 90.0, 99.0, 100.0)


class NoEntryError(Exception):
    """No entry instance accepted the connection."""


@attrs.frozen
class LoadPlan:
    """What to send.

    Attributes:
        service: Name of the service.
        queries: Number of queries.
        renewals: Number of renewals, which may not be repeated.
        watches: Number of watches.
        duration: Time over which the requests start, in seconds.
        max_in_flight: Requests at once; more wait to be sent.
        timeout_ms: Deadline of a query or renewal.
        watch_ms: Deadline of a watch.
        seed: Seed of the order and the subjects.
    """

    service: str
    queries: int = 200
    renewals: int = 60
    watches: int = 20
    duration: float = 20.0
    max_in_flight: int = 64
    timeout_ms: int = 4_000
    watch_ms: int = 4_000
    seed: int = 0


@attrs.frozen
class JobPlan:
    """A batch job; ``resources`` is the need of one task."""

    job: str
    team: str
    task_count: int
    resources: records.Amounts
    command: str
    kind: str = "demo"
    is_urgent: bool = False
    expected_seconds: float = 2.0


@attrs.frozen
class _Reply:
    """An answer of an entry instance."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class EntryPool:
    """Chooses entry instances like the platform's load balancer.

    It uses the instances whose health check answers 200, in turn, and goes
    on to the next one when a connection is refused.
    """

    def __init__(self, entries: Sequence[str], max_clients: int) -> None:
        self._entries = tuple(entries)
        self._healthy = set(entries)
        self._next = 0
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=max_clients
        )

    async def run(self) -> None:
        """Probes the instances until cancelled."""
        while True:
            await asyncio.gather(
                *(self._probe(entry) for entry in self._entries)
            )
            await asyncio.sleep(_PROBE_SECONDS)

    async def send(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
        timeout: float,
    ) -> _Reply:
        """Sends a request to one instance, once.

        Raises:
            NoEntryError: Every instance refused the connection.
            OSError: The connection broke after the request was sent.
        """
        for entry in self._choose_order():
            sent = _SentMark()
            request = _build_request(
                f"http://{entry}{path}", method, headers, body, timeout, sent
            )
            try:
                response = await self._client.fetch(request, raise_error=False)
            except curl_httpclient.CurlError as error:
                if error.errno in _NOT_SENT or not sent.is_sent:
                    self._healthy.discard(entry)
                    continue
                raise OSError(f"{entry}: {error.message}") from error
            return _Reply(response.code, response.headers, response.body)
        raise NoEntryError("no entry instance accepts connections")

    def close(self) -> None:
        """Closes all connections."""
        self._client.close()

    def _choose_order(self) -> list[str]:
        self._next += 1
        start = self._next % len(self._entries)
        turned = self._entries[start:] + self._entries[:start]
        return sorted(turned, key=lambda entry: entry not in self._healthy)

    async def _probe(self, entry: str) -> None:
        request = _build_request(
            f"http://{entry}/v1/health",
            "GET",
            {},
            None,
            _PROBE_TIMEOUT_SECONDS,
            _SentMark(),
        )
        status = 0
        with contextlib.suppress(curl_httpclient.CurlError):
            status = (
                await self._client.fetch(request, raise_error=False)
            ).code
        if status == 200:
            self._healthy.add(entry)
        else:
            self._healthy.discard(entry)


class _SentMark:
    """Tells whether a request may have been sent; stops a second sending.

    libcurl repeats a request when a reused connection closes early. The
    history would then hold one request that was sent twice.
    """

    def __init__(self) -> None:
        self.is_sent = False

    def prepare(self, curl: pycurl.Curl) -> None:
        """Sets the options of one transfer."""
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.PREREQFUNCTION, self._note)

    def _note(self, *_: object) -> int:
        if self.is_sent:
            return int(pycurl.PREREQFUNC_ABORT)
        self.is_sent = True
        return int(pycurl.PREREQFUNC_OK)


def _build_request(
    url: str,
    method: str,
    headers: Mapping[str, str],
    body: bytes | None,
    timeout: float,
    sent: _SentMark,
) -> httpclient.HTTPRequest:
    return httpclient.HTTPRequest(
        url,
        method=method,
        headers=dict(headers),
        body=body,
        connect_timeout=_PROBE_TIMEOUT_SECONDS,
        request_timeout=timeout,
        follow_redirects=False,
        decompress_response=False,
        prepare_curl_callback=sent.prepare,
    )


@attrs.frozen
class _Planned:
    """A request to be sent."""

    request_id: str
    kind: records.RequestKind
    subject: str


class LoadGenerator:
    """Sends the planned requests and keeps what the callers learned."""

    def __init__(self, pool: EntryPool, plan: LoadPlan) -> None:
        self._pool = pool
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._history: list[records.CallerRequest] = []
        self._roster_versions: dict[str, int] = {}
        self._places = asyncio.Semaphore(plan.max_in_flight)

    @property
    def history(self) -> tuple[records.CallerRequest, ...]:
        """What the callers learned, in the order of the answers."""
        return tuple(self._history)

    async def run(self) -> None:
        """Sends all requests, and waits until each has its outcome."""
        planned = self._build_plan()
        gap = self._plan.duration / max(len(planned), 1)
        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for index, item in enumerate(planned):
                due = started + index * gap
                await asyncio.sleep(max(due - time.monotonic(), 0))
                await self._places.acquire()
                task = group.create_task(self._send(item))
                task.add_done_callback(lambda _: self._places.release())

    def _build_plan(self) -> list[_Planned]:
        plan = self._plan
        kinds = (
            [records.RequestKind.QUERY] * plan.queries
            + [records.RequestKind.RENEWAL] * plan.renewals
            + [records.RequestKind.WATCH] * plan.watches
        )
        self._random.shuffle(kinds)
        # The seed repeats the order and the subjects, but a second load must
        # not find the recorded answers of the first.
        prefix = uuid.uuid4().hex[:12]
        return [
            _Planned(f"{prefix}-{index}", kind, self._choose_subject(kind))
            for index, kind in enumerate(kinds)
        ]

    def _choose_subject(self, kind: records.RequestKind) -> str:
        # With few markets, most watches know a version and must wait.
        is_watch = kind is records.RequestKind.WATCH
        count = _MARKETS if is_watch else _SUBJECTS
        return f"{kind.value}-{self._random.randrange(count)}"

    async def _send(self, item: _Planned) -> None:
        plan = self._plan
        method, path, body = self._build_call(item)
        is_watch = item.kind is records.RequestKind.WATCH
        is_renewal = item.kind is records.RequestKind.RENEWAL
        timeout_ms = plan.watch_ms if is_watch else plan.timeout_ms
        headers = {
            "Request-Id": item.request_id,
            "Request-Timeout-Ms": str(timeout_ms),
            "Request-Repeatable": "no" if is_renewal else "yes",
        }
        if is_watch:
            headers["Request-Watch"] = "yes"
        if body is not None:
            headers["Content-Type"] = "application/json"
        sent_at = time.time()
        started = time.monotonic()
        reply: _Reply | None = None
        code = ""
        try:
            reply = await self._pool.send(
                method,
                f"/v1/services/{plan.service}{path}",
                headers,
                body,
                timeout_ms / 1000 + _GRACE_SECONDS,
            )
        except (NoEntryError, OSError) as error:
            code = str(error)
        latency_ms = (time.monotonic() - started) * 1000
        self._history.append(
            self._judge(item, sent_at, latency_ms, not is_renewal, reply, code)
        )

    def _build_call(self, item: _Planned) -> tuple[str, str, bytes | None]:
        if item.kind is records.RequestKind.QUERY:
            return "GET", f"/eligibility/{item.subject}", None
        if item.kind is records.RequestKind.RENEWAL:
            body = {"badge": item.subject, "amount": 5}
            return "POST", "/renewals", json.dumps(body).encode()
        after = self._roster_versions.get(item.subject, 0)
        return "GET", f"/roster/{item.subject}?after={after}", None

    def _judge(
        self,
        item: _Planned,
        sent_at: float,
        latency_ms: float,
        is_repeatable: bool,
        reply: _Reply | None,
        code: str,
    ) -> records.CallerRequest:
        outcome = records.CallerOutcome.LOST
        if reply is not None:
            try:
                outcome = records.CallerOutcome(
                    reply.headers.get(_OUTCOME_HEADER, "")
                )
            except ValueError:
                code = f"no outcome with status {reply.status}"
        is_answered = outcome is records.CallerOutcome.ANSWERED
        if reply is not None and not is_answered and not code:
            code = reply.body[:200].decode("utf-8", "replace")
        return records.CallerRequest(
            item.request_id,
            item.kind,
            is_repeatable,
            sent_at,
            latency_ms,
            outcome,
            reply.status if reply else 0,
            hashlib.sha256(reply.body).hexdigest() if reply else "",
            reply is None or not is_answered or self._matches(item, reply),
            code,
        )

    def _matches(self, item: _Planned, reply: _Reply) -> bool:
        echoed = reply.headers.get("Request-Id", item.request_id)
        if echoed != item.request_id:
            return False
        if reply.status != 200:
            return True
        try:
            content = json.loads(reply.body)
            version = content.get("version", 0)
            if item.kind is records.RequestKind.WATCH:
                self._roster_versions[item.subject] = int(version)
        except (ValueError, TypeError, AttributeError):
            return False
        wanted = (item.request_id, item.subject)
        return (content.get("request_id"), content.get("subject")) == wanted


async def submit_job(pool: EntryPool, plan: JobPlan, tries: int = 20) -> bool:
    """Submits a job, again after a refusal or a lost answer.

    The job's identity makes a repeated submission harmless: it is refused as
    a duplicate, which counts as submitted.
    """
    body = json.dumps(build_job_body(plan)).encode()
    headers = {"Content-Type": "application/json"}
    for _ in range(tries):
        with contextlib.suppress(NoEntryError, OSError):
            reply = await pool.send("POST", "/v1/jobs", headers, body, 5.0)
            if reply.status in (201, 409):
                return True
        await asyncio.sleep(0.5)
    return False


async def read_job_state(pool: EntryPool, job: str) -> str | None:
    """Returns the state of a job, or None if it is not known now."""
    with contextlib.suppress(NoEntryError, OSError, ValueError):
        reply = await pool.send("GET", f"/v1/jobs/{job}", {}, None, 5.0)
        if reply.status == 200:
            return str(json.loads(reply.body).get("state"))
    return None


def build_job_body(plan: JobPlan) -> dict[str, typing.Any]:
    """Returns the body of ``POST /v1/jobs``."""
    return {
        "job": plan.job,
        "team": plan.team,
        "kind": plan.kind,
        "task_count": plan.task_count,
        "resources": records.encode(plan.resources),
        "command": plan.command,
        "urgent": plan.is_urgent,
        "expected_duration": plan.expected_seconds,
    }


def compute_percentiles(
    history: Iterable[records.CallerRequest],
) -> dict[float, float]:
    """Returns latency percentiles of answered requests, in ms."""
    latencies = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)
    for request in history:
        if request.outcome is records.CallerOutcome.ANSWERED:
            latencies.record_value(max(int(request.latency_ms * 1000), 1))
    return {
        percentile: latencies.get_value_at_percentile(percentile) / 1000
        for percentile in _PERCENTILES
    }


def format_summary(history: Sequence[records.CallerRequest]) -> str:
    """Returns a table of outcomes and latencies by kind."""
    outcomes = list(records.CallerOutcome)
    lines = [
        f"{'':10}"
        + "".join(f"{outcome.value:>9}" for outcome in outcomes)
        + "".join(f"{f'p{percent:g} ms':>10}" for percent in _PERCENTILES)
    ]
    for kind in records.RequestKind:
        own = [request for request in history if request.kind is kind]
        counts = [
            sum(request.outcome is outcome for request in own)
            for outcome in outcomes
        ]
        lines.append(
            f"{kind.value:10}"
            + "".join(f"{count:9}" for count in counts)
            + "".join(
                f"{value:10.1f}" for value in compute_percentiles(own).values()
            )
        )
    return "\n".join(lines)


async def run_load(
    entries: Sequence[str], plan: LoadPlan
) -> tuple[records.CallerRequest, ...]:
    """Runs one load to its end; returns the history."""
    pool = EntryPool(entries, plan.max_in_flight + 2 * len(entries))
    prober = asyncio.create_task(pool.run())
    try:
        generator = LoadGenerator(pool, plan)
        await generator.run()
        return generator.history
    finally:
        prober.cancel()
        await asyncio.gather(prober, return_exceptions=True)
        pool.close()


def main() -> None:
    """Runs a load from the command line."""
    defaults = LoadPlan("badge")
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entry", action="append", required=True)
    parser.add_argument("--service", default=defaults.service)
    parser.add_argument("--queries", type=int, default=defaults.queries)
    parser.add_argument("--renewals", type=int, default=defaults.renewals)
    parser.add_argument("--watches", type=int, default=defaults.watches)
    parser.add_argument("--duration", type=float, default=defaults.duration)
    parser.add_argument(
        "--max-in-flight", type=int, default=defaults.max_in_flight
    )
    parser.add_argument("--timeout-ms", type=int, default=defaults.timeout_ms)
    parser.add_argument("--seed", type=int, default=defaults.seed)
    parser.add_argument("--output", help="file for the history")
    options = parser.parse_args()
    plan = LoadPlan(
        options.service,
        options.queries,
        options.renewals,
        options.watches,
        options.duration,
        options.max_in_flight,
        options.timeout_ms,
        seed=options.seed,
    )
    history = asyncio.run(run_load(options.entry, plan))
    print(format_summary(history))
    if options.output:
        with open(options.output, "w", encoding="utf-8") as output:
            for request in history:
                print(json.dumps(records.encode(request)), file=output)


if __name__ == "__main__":
    main()
