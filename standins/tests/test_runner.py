"""Tests of the runner stand-in through the load generator's connections."""

import asyncio
import datetime
import json
import time
import typing

import pytest
from tornado import httpclient
from tornado import simple_httpclient

from standins import records
from standins import runner
from standins import serving


def _deadline(seconds: float) -> str:
    now = datetime.datetime.now(datetime.timezone.utc)
    return (now + datetime.timedelta(seconds=seconds)).isoformat()


def _run(
    state: runner.RunnerState,
    requests: list[tuple[str, str, float]],
    body: bytes | None = None,
) -> list[httpclient.HTTPResponse | Exception]:
    """Sends (ID, path, deadline) at once; returns answers or errors."""

    async def run() -> list[typing.Any]:
        server = runner.build_server(state)
        port = serving.listen(server, "127.0.0.1", 0)
        client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=100
        )
        try:
            return await asyncio.gather(
                *(
                    client.fetch(
                        f"http://127.0.0.1:{port}{path}",
                        method="POST" if body else "GET",
                        body=body,
                        headers={
                            "Request-Id": name,
                            "Request-Deadline": _deadline(deadline),
                        },
                        raise_error=False,
                    )
                    for name, path, deadline in requests
                ),
                return_exceptions=True,
            )
        finally:
            client.close()
            server.stop()
            await server.close_all_connections()

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("faults", "deadline", "expected", "run_count"),
    [
        ({}, 5, 200, 1),
        ({}, -1, 504, 0),
        ({"slow_factor": 1000}, 0.1, 504, 1),
        ({"refuse": True}, 5, 503, 0),
        ({"close_before": 1}, 5, None, 0),
        ({"close_mid_answer": 1}, 5, None, 1),
        ({"stall": 1}, 0.2, None, 1),
        ({"wrong_id": 1}, 5, 200, 1),
    ],
)
def test_faults_and_deadlines(
    faults: dict[str, typing.Any],
    deadline: float,
    expected: int | None,
    run_count: int,
) -> None:
    """Guards against records that differ from what really ran."""
    state = runner.RunnerState("r")
    state.faults = runner.Faults(**faults)
    (answer,) = _run(state, [("id", "/eligibility/stall", deadline)])
    if expected is None:
        assert isinstance(answer, Exception)
    else:
        assert isinstance(answer, httpclient.HTTPResponse)
        assert answer.code == expected
    if expected == 200 and isinstance(answer, httpclient.HTTPResponse):
        echoed = "not-id" if faults else "id"
        assert answer.headers["Request-Id"] == echoed
        assert json.loads(answer.body)["subject"] == "stall"
    assert len(state.get_records().requests) == run_count


def test_renewal_runs_again_for_each_arrival() -> None:
    """Guards against a runner that hides a renewal charged twice."""
    state = runner.RunnerState("r")
    _run(state, [("id", "/renewals", 5)] * 2, b'{"badge": "b"}')
    runs = state.get_records().requests
    assert [run.request_id for run in runs] == ["id", "id"]
    assert {run.kind for run in runs} == {records.RequestKind.RENEWAL}


def test_counts_slots_and_connections_at_once() -> None:
    """Guards against limits that cannot be seen to be exceeded."""
    state = runner.RunnerState("r")
    state.faults = runner.Faults(slow_factor=40)
    requests = [(f"q{n}", "/eligibility/s", 5.0) for n in range(12)]
    requests += [(f"w{n}", "/roster/m?after=99999999999", 0.5) for n in "ab"]
    answers = _run(state, requests)
    statuses = [getattr(answer, "code", None) for answer in answers]
    assert statuses == [200] * 12 + [204] * 2
    found = state.get_records()
    assert (found.max_slots, found.max_connections) == (12, 14)


def test_watch_waits_for_a_change() -> None:
    """Guards against a watch that answers before or long after a change."""
    state = runner.RunnerState("r", roster_period_seconds=0.5)
    version = state.get_roster_version()
    started = time.monotonic()
    (answer,) = _run(state, [("w", f"/roster/m?after={version}", 5)])
    assert time.monotonic() - started < 1.0
    assert isinstance(answer, httpclient.HTTPResponse)
    assert json.loads(answer.body)["version"] == version + 1
