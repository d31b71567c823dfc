"""Reading, encoding and planning of declarations."""

import json
import pathlib
import typing

from hypothesis import given
from hypothesis import strategies
import pytest

from tamarackhatch import declarations
from tamarackhatch import errors

_EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "declarations"


def _load(tmp_path: pathlib.Path, *texts: str) -> declarations.Declarations:
    for index, text in enumerate(texts):
        (tmp_path / f"{index}.jsonc").write_text(text)
    return declarations.load_directory(str(tmp_path))


def _exception(**changes: object) -> dict[str, object]:
    base = {"service": "s", "values": {"max_queue": 1}, "reason": "r"}
    return {k: v for k, v in (base | changes).items() if v is not None}


def test_example_takes_effect() -> None:
    """The declarations in examples/ are valid and take effect."""
    loaded = declarations.load_directory(str(_EXAMPLE))
    policies = declarations.PolicySet(loaded)
    assert policies.get_service_policy("eligibility").max_queue == 512
    assert policies.get_service_policy("other").max_queue == 256
    assert policies.get_team_policy("rota").quota is None
    assert policies.get_team_policy("other").quota is not None
    assert not policies.get_worker_policy("worker-17").batch_allowed


@pytest.mark.parametrize(
    "exceptions, code, message",
    [
        ([_exception(reason=None)], "TH106", "has no reason"),
        ([_exception(reason="  ")], "TH106", "has no reason"),
        ([_exception(reason=1)], "TH104", "reason must be text"),
        ([_exception(service=None)], "TH103", "exactly one of service, team"),
        ([_exception(team="t")], "TH110", "exactly one of service, team"),
        ([_exception(service="a b")], "TH105", "service must be a name"),
        ([_exception(values={})], "TH103", "values is empty"),
        ([_exception(values=None)], "TH103", "values is missing"),
        ([_exception(values=[])], "TH104", "must be an object"),
        ([_exception(values={"slots": 9})], "TH105", "from 1 to 8"),
        ([_exception(values={"slot": 4})], "TH102", "known key is slots"),
        ([_exception(values={"quota": {}})], "TH102", "unknown key"),
        ([_exception(), _exception()], "TH107", "repeats the exception at"),
        (
            [_exception(), _exception(values={"max_queue": 2})],
            "TH110",
            "contradicts the exception at",
        ),
        ([_exception(values={"connections": 4})], "TH110", "slots exceed"),
        ([_exception(batch="b")], "TH102", "unknown key exceptions[0].batch"),
        ([5], "TH104", "exceptions[0] must be an object"),
        ({}, "TH104", "exceptions must be an array"),
    ],
)
def test_invalid_exception_is_reported(
    tmp_path: pathlib.Path, exceptions: object, code: str, message: str
) -> None:
    """An invalid exception is reported with a code and a message."""
    with pytest.raises(errors.FindingsError) as caught:
        _load(tmp_path, json.dumps({"exceptions": exceptions}))
    findings = [str(finding) for finding in caught.value.findings]
    assert any(code in item and message in item for item in findings), findings


def test_findings_of_all_files_are_reported(tmp_path: pathlib.Path) -> None:
    """Reading does not stop at the first invalid file."""
    text = '{"defaults": {"team": {}, "batch": {"lease_s": 1}}}'
    with pytest.raises(errors.FindingsError) as caught:
        _load(tmp_path, text, text, "{")
    codes = [finding.code.value for finding in caught.value.findings]
    assert codes == ["TH105", "TH107", "TH107", "TH101"]


@pytest.mark.parametrize("name", ["", "none"])
def test_directory_without_files_is_rejected(
    tmp_path: pathlib.Path, name: str
) -> None:
    """Guards against a wrong path that removes all exceptions."""
    with pytest.raises(errors.FindingsError, match="TH108"):
        declarations.load_directory(str(tmp_path / name))


_VALUES: dict[str, strategies.SearchStrategy[typing.Any]] = {
    "service": strategies.fixed_dictionaries(
        {"max_queue": strategies.integers(0, 9)},
        optional={"retry_percent": strategies.integers(0, 100)},
    ),
    "team": strategies.fixed_dictionaries(
        {
            "quota": strategies.none()
            | strategies.just({"processors_milli": 5, "memory_mb": 7})
        }
    ),
    "worker": strategies.just({"batch_allowed": False}),
}
_EXCEPTIONS = strategies.sampled_from(sorted(_VALUES)).flatmap(
    lambda scope: strategies.fixed_dictionaries(
        {
            scope: strategies.sampled_from("abc"),
            "values": _VALUES[scope],
            "reason": strategies.just("r"),
        }
    )
)
_DOCUMENTS = strategies.lists(
    _EXCEPTIONS,
    max_size=5,
    unique_by=lambda item: [(s, item[s]) for s in _VALUES if s in item][0],
).map(lambda items: {"exceptions": items})


@given(_DOCUMENTS, _DOCUMENTS)
def test_stored_form_keeps_all_values(first: object, second: object) -> None:
    """Encoding and decoding of the store row loses no values."""
    old = declarations.decode_declarations(first, "a")
    new = declarations.decode_declarations(second, "b")
    stored = json.loads(json.dumps(declarations.encode_declarations(new)))
    assert declarations.decode_declarations(stored, "store") == new
    assert declarations.compute_plan(old, new).is_empty == (old == new)
    reverse_changes = declarations.compute_plan(new, old).changes
    assert len(reverse_changes) == len(
        declarations.compute_plan(old, new).changes
    )


def test_plan_lists_values_and_reasons() -> None:
    """Every change of a value or a reason is listed."""
    old = declarations.decode_declarations(
        {"exceptions": [_exception(), _exception(service="gone")]}, "a"
    )
    new = declarations.decode_declarations(
        {
            "defaults": {"batch": {"lease_s": 60}},
            "exceptions": [
                _exception(reason="new"),
                _exception(service=None, team="t", values={"quota": None}),
            ],
        },
        "b",
    )
    plan = declarations.compute_plan(old, new)
    assert [str(change) for change in plan.changes] == [
        "~ defaults batch: lease_s 30 -> 60",
        "- service gone: max_queue 1 (r)",
        "~ service s: max_queue 1 -> 1 (new)",
        "+ team t: quota null (r)",
    ]


def test_unknown_keys_of_a_later_release_are_ignored() -> None:
    """A version stored by a later release still takes effect."""
    quota = {"processors_milli": 5, "memory_mb": 7, "later": 1}
    value = {
        "defaults": {"batch": {"later": 1, "lease_s": 60}},
        "exceptions": [
            _exception(service=None, team="t", values={"quota": quota})
        ],
    }
    with pytest.raises(errors.FindingsError, match="TH102"):
        declarations.decode_declarations(value, "request")
    stored = declarations.decode_declarations(
        value, "store", ignore_unknown=True
    )
    assert stored.defaults.batch.lease.total_seconds() == 60
    policy = declarations.PolicySet(stored).get_team_policy("t")
    assert policy.quota and policy.quota.memory_mb == 7
