"""Loading of the settings file."""

import pathlib

import pytest

from tamarackhatch import errors
from tamarackhatch import settings

_EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "settings.jsonc"


def _load(tmp_path: pathlib.Path, old: str, new: str) -> settings.Settings:
    text = _EXAMPLE.read_text()
    assert old in text
    path = tmp_path / "settings.jsonc"
    path.write_text(text.replace(old, new))
    return settings.load_settings(str(path))


def test_example_loads_without_showing_secrets() -> None:
    """Guards against an example that is refused, and secrets in logs."""
    loaded = settings.load_settings(str(_EXAMPLE))
    assert loaded.max_body == 8 * 1024 * 1024
    assert loaded.configuration_read_interval.total_seconds() == 2
    assert loaded.operator_token.matches("replace-this-token")
    assert "replace-this" not in f"{loaded} {loaded!r} {loaded.peer_key}"


@pytest.mark.parametrize(
    "old, new, code, words",
    [
        ('"region":', '"regoin":', "TH102", "nearest known key is region"),
        ('"region":', '"regoin":', "TH103", "region is missing"),
        ('"almaty-1"', "7", "TH104", "data_centre must be text"),
        ('"almaty-1"', '"a b"', "TH105", "data_centre must be a name"),
        ("2000,", "20,", "TH105", "from 100 to 5000"),
        ("2000,", "true,", "TH104", "whole number, not true or false"),
        ("2000,", "0.5,", "TH104", "not a fraction"),
        ("2000,", "NaN,", "TH104", "whole number"),
        ('"stop_limit_s": 60', '"stop_limit": 60', "TH102", "stop_limit_s"),
        ('"replace-this-token"', '"short"', "TH105", "at least 16"),
        ("127.0.0.1:7401", "localhost:7401", "TH105", "IP address"),
        ("127.0.0.1:7401", "127.0.0.1:99999", "TH105", "port from"),
        ("127.0.0.1:7401", "127.0.0.1:7400", "TH107", "same as caller"),
        ("127.0.0.1:7402", "0.0.0.0:7402", "TH103", "advertised_peer"),
        ("http://127.0.0.1:9000", "ftp://a", "TH105", "table_service_url"),
        ("http://127.0.0.1:9000", "http://u:p@a", "TH105", "without user"),
        ('"region":', '"instance": "b", "region":', "TH107", "given twice"),
        ('"region":', '"region"', "TH101", "expecting COLON"),
        ("8,\n}", "8,", "TH101", "unexpected end of file"),
        ('"almaty",', "@,", "TH101", "unexpected character"),
    ],
)
def test_bad_input_is_found(
    tmp_path: pathlib.Path, old: str, new: str, code: str, words: str
) -> None:
    """Guards against a fault that passes, or is reported unclearly."""
    with pytest.raises(errors.FindingsError) as caught:
        _load(tmp_path, old, new)
    findings = [str(finding) for finding in caught.value.findings]
    assert any(code in item and words in item for item in findings), findings
    assert all("short" not in item for item in findings)


def test_all_findings_have_their_places(tmp_path: pathlib.Path) -> None:
    """Guards against a check that stops at the first fault."""
    path = tmp_path / "s.jsonc"
    path.write_text('// c\n{"instance": 1,\n  "regoin": "x"}')
    with pytest.raises(errors.FindingsError) as caught:
        settings.load_settings(str(path))
    places = [(f.place.line, f.place.column) for f in caught.value.findings]
    assert (2, 14) in places and (3, 3) in places
    assert len(places) == 9


def test_unreadable_file_is_a_finding(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback for a missing file."""
    with pytest.raises(errors.FindingsError, match="TH108"):
        settings.load_settings(str(tmp_path / "none"))
