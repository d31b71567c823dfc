"""A short seeded run against real processes."""

import asyncio
import datetime
import pathlib
import typing

import pytest

from soak import _run
from soak import _schedule
from soak.tests import faulty

_SEED = 1
_SECONDS = 45


def test_short_run_finds_no_violation(tmp_path: pathlib.Path) -> None:
    """Guards against faults that need real processes and real time.

    The run takes about 70 s.
    """
    schedule = _schedule.make_schedule(
        _SEED, datetime.timedelta(seconds=_SECONDS)
    )
    result = asyncio.run(_run.run_seed(_SEED, schedule, tmp_path))
    assert result.violations == [], f"logs in {tmp_path}"
    assert result.runs > result.jobs > 50


@pytest.mark.parametrize(
    ("module", "name", "faulty_class"), faulty.FAULTS.values()
)
def test_deliberate_faults_replace_a_class(
    module: typing.Any, name: str, faulty_class: type
) -> None:
    """Guards against deliberate faults that no longer have an effect."""
    replaced = getattr(module, name)
    assert issubclass(faulty_class, replaced)
    own = [
        key
        for key, value in vars(faulty_class).items()
        if callable(value) or isinstance(value, property)
    ]
    assert own
    assert all(hasattr(replaced, key) for key in own)
