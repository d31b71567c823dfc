"""Commands, their output and exit codes."""

import pathlib
import subprocess
import sys

import orjson
import pytest

_EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def _run_command(*arguments: str, text: str = "") -> tuple[int, str]:
    result = subprocess.run(
        [sys.executable, "-m", "tamarackhatch", *arguments],
        input=text,
        capture_output=True,
        text=True,
        timeout=30,
    )
    return result.returncode, result.stdout + result.stderr


@pytest.mark.parametrize("name", ["settings.jsonc", "declarations"])
def test_examples_are_valid(name: str) -> None:
    """The examples in the repository are valid."""
    assert _run_command("check", str(_EXAMPLES / name)) == (0, "")


def test_check_reports_every_finding(tmp_path: pathlib.Path) -> None:
    """Each finding is one line with its location; the exit code is 2."""
    path = tmp_path / "settings.jsonc"
    path.write_text('{"instance": "a", "colour": 1}')
    code, output = _run_command("check", str(path))
    assert code == 2
    lines = output.splitlines()
    assert all(line.startswith(f"{path}:1:") for line in lines)
    assert any("TH102 unknown key colour" in line for line in lines)
    assert any("TH103 store_address is missing" in line for line in lines)


def test_serve_rejects_invalid_settings(tmp_path: pathlib.Path) -> None:
    """An instance does not start with invalid settings."""
    path = tmp_path / "settings.jsonc"
    path.write_text("{}")
    code, output = _run_command("serve", "--settings", str(path))
    assert code == 2 and "TH103 instance is missing" in output


def test_explain_sorts_events_of_a_job_by_time() -> None:
    """Events of one job from all instances are sorted by time."""
    events = [
        {
            "time": "2",
            "part": "scheduler",
            "event": "task_placed",
            "task": "00aa.0.0.1",
            "runner": "i-1",
        },
        {
            "time": "1",
            "part": "service",
            "event": "submit",
            "job": "00aa",
            "outcome": "done",
        },
        {"time": "3", "part": "service", "event": "submit", "job": "00ab"},
    ]
    text = "noise\n" + "".join(
        f"entry-1 {orjson.dumps(event).decode()}\n" for event in events
    )
    code, output = _run_command("explain", "00aa", text=text)
    assert code == 0
    assert output.splitlines() == [
        "1 service submit job=00aa outcome=done",
        "2 scheduler task_placed task=00aa.0.0.1 runner=i-1",
    ]


def test_explain_reports_an_unknown_subject() -> None:
    """An unknown subject is an error, not an empty output."""
    code, output = _run_command("explain", "00", text="")
    assert code == 1 and "no log events found for 00" in output
