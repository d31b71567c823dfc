"""Which connections are closed when a process has too many."""

import datetime

import attrs
import pytest

from tamarackhatch import connections

_SECOND = datetime.timedelta(seconds=1)
_LIMITS = connections.ServerLimits(16_384, 262_144, 3 * _SECOND, 15 * _SECOND)


def _make(
    server: str = "callers",
    phase: connections.Phase = connections.Phase.BODY,
    received: int = 0,
    since: float = 0,
    last_read: float = 0,
    content: int = 0,
) -> connections.Connection:
    made = connections.Connection(
        server, phase, since * _SECOND, last_read * _SECOND, received
    )
    made.body.append(b"x" * content)
    return made


@attrs.frozen
class MemoryCase:
    """Connections, and the numbers of those to close for memory.

    Attributes:
        present: The connections.
        closed: Numbers of those to close, in their order.
    """

    present: tuple[connections.Connection, ...]
    closed: tuple[int, ...]


_HANDLING = connections.Phase.HANDLING
_DISCARDING = connections.Phase.DISCARDING


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            MemoryCase((_make(received=500), _make(received=500)), ()),
            id="within-the-budget",
        ),
        pytest.param(
            MemoryCase((_make(received=100), _make(received=950)), (1,)),
            id="the-largest",
        ),
        pytest.param(
            MemoryCase(
                (
                    _make(received=600, since=2),
                    _make(received=600, since=1),
                    _make(received=100),
                ),
                (1,),
            ),
            id="of-equal-ones-the-oldest",
        ),
        pytest.param(
            MemoryCase(
                (
                    _make(received=900, phase=_HANDLING),
                    _make(received=200),
                    _make(received=300),
                ),
                (2, 1),
            ),
            id="as-many-as-needed-and-none-being-handled",
        ),
        pytest.param(
            MemoryCase((_make(received=2000, phase=_HANDLING),), ()),
            id="a-request-being-handled-stays",
        ),
        pytest.param(
            MemoryCase(
                (
                    _make(received=5000, phase=_DISCARDING),
                    _make(received=900),
                ),
                (),
            ),
            id="refused-bodies-are-not-kept",
        ),
    ],
)
def test_largest_incomplete_requests_are_closed_for_memory(
    case: MemoryCase,
) -> None:
    """Guards against a crowd for which an ordinary request is closed."""
    budget = connections.ConnectionBudget(10, 1000)
    closed = budget.choose_for_memory(case.present)
    assert tuple(map(case.present.index, closed)) == case.closed


@pytest.mark.parametrize(
    ("present", "closed"),
    [
        pytest.param(
            (_make(last_read=2), _make(last_read=1), _make(last_read=3)),
            1,
            id="the-longest-without-a-byte",
        ),
        pytest.param(
            (
                _make("instances", last_read=1),
                _make(last_read=2),
                _make(last_read=3),
            ),
            1,
            id="of-the-server-with-the-most",
        ),
        pytest.param(
            (
                _make(last_read=1, phase=_HANDLING),
                _make(last_read=2),
            ),
            1,
            id="none-being-handled",
        ),
        pytest.param((_make(phase=_HANDLING),), None, id="all-being-handled"),
    ],
)
def test_unused_connection_is_closed_for_a_new_one(
    present: tuple[connections.Connection, ...], closed: int | None
) -> None:
    """Guards against connections that keep others out."""
    found = connections.ConnectionBudget(1, 1).choose_for_admission(present)
    assert found is (None if closed is None else present[closed])


@pytest.mark.parametrize(
    ("connection", "charge"),
    [
        pytest.param(_make(received=5000, content=4000), 5000, id="announced"),
        pytest.param(
            _make(received=24_000, content=4000),
            24_000,
            id="some-framing-is-free",
        ),
        pytest.param(
            _make(received=265_536, content=0),
            265_536 + 8 * 200_000,
            id="framing-has-a-price",
        ),
    ],
)
def test_requests_count_for_what_they_cost(
    connection: connections.Connection, charge: int
) -> None:
    """Guards against chunks that cost far more than their content."""
    assert connection.charge == charge


@pytest.mark.parametrize(
    ("phase", "in_phase_s", "still_s", "is_overdue"),
    [
        pytest.param("idle", 14, 14, False, id="idle"),
        pytest.param("idle", 15, 15, True, id="idle-too-long"),
        pytest.param("header", 2, 2, False, id="header"),
        pytest.param("header", 3, 0, True, id="header-too-slow"),
        pytest.param("body", 59, 1, False, id="body"),
        pytest.param("body", 20, 15, True, id="body-without-progress"),
        pytest.param("body", 60, 1, True, id="body-too-slow"),
        pytest.param("discarding", 3, 0, True, id="refused"),
        pytest.param("handling", 89, 89, False, id="handled"),
        pytest.param("handling", 90, 90, True, id="answer-is-not-read"),
    ],
)
def test_each_phase_has_a_time_limit(
    phase: str, in_phase_s: int, still_s: int, is_overdue: bool
) -> None:
    """Guards against connections that are kept for nothing."""
    now = 100
    connection = _make(
        phase=connections.Phase(phase),
        since=now - in_phase_s,
        last_read=now - still_s,
    )
    assert (
        connection.is_overdue(
            _LIMITS, 60 * _SECOND, 90 * _SECOND, now * _SECOND
        )
        == is_overdue
    )
