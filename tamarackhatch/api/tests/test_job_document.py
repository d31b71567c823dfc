"""Tests of the project's own job format."""

import datetime

import pytest

from tamarackhatch import api
from tamarackhatch import errors
from tamarackhatch import model

_MILLISECOND = datetime.timedelta(milliseconds=1)
_BODY = b"""{
  "queue": "renewals",
  "specification": "text",
  "steps": [
    {
      "count": 3,
      "resources": {"processors": 6400, "memory_mb": 13000, "accelerators": 1},
      "estimate_ms": 1500,
      "is_lasting": true,
      "required_label": "a",
      "preferred_rack": "r1",
      "max_per_runner": 2,
      "image": "watch",
      "tail_target_ms": 50,
      "may_miss": 1
    },
    {
      "count": 4,
      "resources": {"processors": 7000},
      "after": [0],
      "is_gang": true,
      "is_checkpointing": true,
      "is_rack_sensitive": true,
      "is_speculative": true,
      "is_filler": true,
      "image": "report"
    }
  ]
}"""


def test_published_keys_set_their_attributes() -> None:
    """Guards against changed keys, and keys that set the wrong attribute."""
    assert api.read_job(_BODY) == api.JobDocument(
        queue="renewals",
        specification="text",
        steps=(
            model.Step(
                count=3,
                resources=model.Resources(6400, 13_000, 1),
                estimate=1500 * _MILLISECOND,
                is_long_running=True,
                required_label="a",
                preferred_rack="r1",
                max_per_runner=2,
                image="watch",
                tail_latency_target=50 * _MILLISECOND,
                max_unavailable=1,
            ),
            model.Step(
                count=4,
                resources=model.Resources(7000),
                after=(0,),
                is_gang=True,
                is_checkpointing=True,
                is_rack_sensitive=True,
                is_speculative=True,
                is_best_effort=True,
                image="report",
            ),
        ),
    )


@pytest.mark.parametrize(
    "key",
    [
        b"is_long_running",
        b"is_best_effort",
        b"tail_latency_target_ms",
        b"max_unavailable",
    ],
)
def test_attribute_names_are_not_keys(key: bytes) -> None:
    """Guards against a key that changes with the name of its attribute."""
    body = _BODY.replace(b'"is_gang"', b'"%s"' % key)
    with pytest.raises(errors.FindingsError, match="unknown key"):
        api.read_job(body)
