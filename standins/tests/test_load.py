"""Tests of the load generator against scripted entry instances."""

import asyncio
import json
import socket
import typing

import pytest
from tornado import httpserver
from tornado import web

from standins import load
from standins import records
from standins import serving

_OUTCOME = records.CallerOutcome


class _EntryHandler(serving.JsonHandler):
    """Answers as its script says; counts what arrived."""

    def initialize(
        self, script: dict[str, typing.Any], seen: list[str]
    ) -> None:
        self._script = script
        self._seen = seen

    async def get(self, path: str) -> None:
        if path == "health":
            self.set_status(200)
            return
        name = self.request.headers["Request-Id"]
        self._seen.append(name)
        if self._script.get("close"):
            self.close_connection()
            return
        echoed = self._script.get("id", name)
        subject = path.rpartition("/")[2]
        self.set_status(self._script.get("status", 200))
        outcome = self._script.get("outcome", "answered")
        if outcome:
            self.set_header("Tamarackhatch-Outcome", outcome)
        self.finish(json.dumps({"request_id": echoed, "subject": subject}))


def _run(
    script: dict[str, typing.Any], plan: load.LoadPlan
) -> tuple[tuple[records.CallerRequest, ...], list[str]]:
    """Runs a load against one instance that answers and one that is gone."""
    seen: list[str] = []

    async def run() -> tuple[records.CallerRequest, ...]:
        application = web.Application(
            [(r"/v1/(.+)", _EntryHandler, {"script": script, "seen": seen})],
            log_function=lambda handler: None,
        )
        server = httpserver.HTTPServer(application)
        port = serving.listen(server, "127.0.0.1", 0)
        with socket.socket() as gone:
            gone.bind(("127.0.0.1", 0))
            entries = [f"127.0.0.1:{gone.getsockname()[1]}"]
            entries.append(f"127.0.0.1:{port}")
            history = await load.run_load(entries, plan)
        server.stop()
        return history

    return asyncio.run(run()), seen


@pytest.mark.parametrize(
    ("script", "outcome", "is_matching"),
    [
        ({}, _OUTCOME.ANSWERED, True),
        ({"id": "another"}, _OUTCOME.ANSWERED, False),
        ({"status": 503, "outcome": "not-run"}, _OUTCOME.NOT_RUN, True),
        ({"status": 504, "outcome": "unknown"}, _OUTCOME.UNKNOWN, True),
        ({"outcome": "perhaps"}, _OUTCOME.LOST, True),
        ({"outcome": ""}, _OUTCOME.LOST, True),
        ({"close": True}, _OUTCOME.LOST, True),
    ],
)
def test_history_holds_what_the_caller_learned(
    script: dict[str, typing.Any],
    outcome: records.CallerOutcome,
    is_matching: bool,
) -> None:
    """Guards against a history that is kinder than the answers.

    A refused connection goes on to the next instance, but a request whose
    connection closed must not be sent again.
    """
    plan = load.LoadPlan("s", 20, 0, 0, duration=0.2, max_in_flight=4)
    history, seen = _run(script, plan)
    assert len(history) == len(seen) == len(set(seen)) == 20
    assert {item.outcome for item in history} == {outcome}
    assert {item.is_matching for item in history} == {is_matching}


def test_summary_counts_by_kind() -> None:
    """Guards against a summary that leaves out what went wrong."""
    history = [
        records.CallerRequest(
            "r", records.RequestKind.RENEWAL, False, 0, latency, outcome
        )
        for latency, outcome in [
            (10.0, _OUTCOME.ANSWERED),
            (30.0, _OUTCOME.ANSWERED),
            (99.0, _OUTCOME.UNKNOWN),
        ]
    ]
    lines = load.format_summary(history).splitlines()
    words = lines[2].split()
    assert words[:5] == ["renewal", "2", "0", "1", "0"]
    assert [float(word) for word in words[5:]] == pytest.approx(
        [10, 30, 30, 30], rel=0.01
    )
