"""Settings files: defaults, units, and findings with their location."""

import datetime
import pathlib

import pytest

from tamarackhatch import errors
from tamarackhatch import settings

_VALID = """{
  "instance": "entry-1",
  "data_centre": "z",
  "processor_share": 0.5,
  "processor_speed": 2,
  "caller_address": "127.0.0.1:1",
  "readiness_address": "127.0.0.1:2",
  "store_address": "127.0.0.1:3",  // a comment
  "bounds": {"max_lease_ms": 3500.5, "grace_s": null}
}"""


def _load(text: str, folder: pathlib.Path) -> settings.Settings:
    path = folder / "settings.jsonc"
    path.write_text(text)
    return settings.load_settings(str(path))


def test_defaults_and_units(tmp_path: pathlib.Path) -> None:
    """Missing and null values get defaults, others the unit of their key."""
    loaded = _load(_VALID, tmp_path)
    assert loaded.processor == 1.0
    assert loaded.lease == datetime.timedelta(milliseconds=3500.5)
    assert loaded.bounds.grace == datetime.timedelta(seconds=6)
    assert loaded.metrics_address is None


def test_leadership_keys_set_their_attributes(tmp_path: pathlib.Path) -> None:
    """Guards against keys renamed along with their attributes."""
    text = _VALID.replace(
        '"bounds"',
        '"scheduling": {"leader_beat_ms": 300, "authority_ms": 4000},'
        '\n  "bounds"',
    )
    scheduling = _load(text, tmp_path).scheduling
    assert scheduling == settings.Scheduling(
        leader_heartbeat_interval=datetime.timedelta(milliseconds=300),
        leader_lease=datetime.timedelta(seconds=4),
    )


def test_bounds_of_a_platform_that_restores_and_evacuates(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against bounds that switch a decision on where they are null."""
    keys = (
        '"evacuation_ms": 5000, "remote_slowdown": 1.5, "restore_ms": 250,'
        ' "stop_timeout_ms": 400, "checkpoint_interval_s": 0.5, "grace_s"'
    )
    bounds = _load(_VALID.replace('"grace_s"', keys), tmp_path).bounds
    assert bounds.evacuation == datetime.timedelta(seconds=5)
    assert bounds.remote_slowdown == 1.5
    assert bounds.restore == datetime.timedelta(milliseconds=250)
    assert bounds.stop_timeout == datetime.timedelta(milliseconds=400)
    assert bounds.checkpoint_interval == datetime.timedelta(milliseconds=500)
    absent = _load(
        _VALID.replace(
            '"grace_s"',
            '"evacuation_ms": null, "remote_slowdown": null, "grace_s"',
        ),
        tmp_path,
    ).bounds
    assert absent.evacuation is None
    assert absent.remote_slowdown is None
    assert absent.restore is None


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('"instance": "entry-1",', "", "1:1: TH103 instance is missing"),
        ("127.0.0.1:3", "store:3", "8:20: TH105 store_address"),
        ("3500.5", "true", "9:30: TH104 bounds.max_lease_ms"),
        ("3500.5", "9" * 5000, "TH101 a number has too many digits"),
        ('"grace_s"', '"grace_sec"', "9:38: TH102 unknown key"),
        (
            '"processor_share": 0.5',
            '"processor_share": -1',
            "4:22: TH105 processor_share",
        ),
        ("}\n}", "", "TH101"),
    ],
)
def test_findings_name_their_location(
    old: str, new: str, expected: str, tmp_path: pathlib.Path
) -> None:
    """Invalid settings are reported with line, column and error code."""
    with pytest.raises(errors.FindingsError) as caught:
        _load(_VALID.replace(old, new), tmp_path)
    assert expected in str(caught.value)


@pytest.mark.parametrize(
    ("metrics", "internal", "expected"),
    [
        (None, None, None),
        ("10.0.0.1:9100", None, "10.0.0.1:9100"),
        # The system chooses the port, which nobody else knows.
        ("10.0.0.1:0", None, None),
        ("0.0.0.0:9100", "10.0.0.2:9200", "10.0.0.2:9100"),
        ("[::]:9100", None, "127.0.0.1:9100"),
        ("[fd00::1]:9100", None, "[fd00::1]:9100"),
    ],
)
def test_public_metrics_address(
    metrics: str | None,
    internal: str | None,
    expected: str | None,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an address that leads other machines to themselves."""
    keys = {"metrics_address": metrics, "internal_address": internal}
    text = "".join(
        f'"{name}": "{value}",\n  '
        for name, value in keys.items()
        if value is not None
    )
    loaded = _load(_VALID.replace('"bounds"', text + '"bounds"'), tmp_path)
    assert loaded.public_metrics_address == expected
