"""Row of learned interference factors, which later schedulers read."""

import attrs
import orjson

from tamarackhatch import placement
from tamarackhatch.records import _limits
from tamarackhatch.records import _progress
from tamarackhatch.records import _types

# The factors are rough estimates; more digits would only add traffic.
_FACTOR_DIGITS = 3


def encode_interference(table: placement.InterferenceTable) -> bytes:
    """Returns the row value of learned interference factors.

    The least certain factors are left out if not all fit, and the images that
    were learned first.
    """
    value = _encode(table)
    if len(value) <= _limits.MAX_VALUE_BYTES:
        return value
    table = placement.InterferenceTable(
        tuple(sorted(table.factors, key=lambda it: it.deviation)),
        _keep_last(table.lowest_tail_latencies),
        _keep_last(table.peaks),
    )
    while len(value) > _limits.MAX_VALUE_BYTES:
        kept = len(table.factors) * _limits.MAX_VALUE_BYTES // len(value)
        kept = min(kept, len(table.factors) - 1)
        table = attrs.evolve(table, factors=table.factors[: max(0, kept)])
        value = _encode(table)
    return value


def _keep_last(values: dict[str, float]) -> dict[str, float]:
    """Returns the last values, which take a quarter of a row at most."""
    kept: dict[str, float] = {}
    size = 0
    for image, value in reversed(values.items()):
        size += len(orjson.dumps({image: value}))
        if size > _limits.MAX_VALUE_BYTES // 4:
            break
        kept[image] = value
    return dict(reversed(kept.items()))


def _encode(table: placement.InterferenceTable) -> bytes:
    return orjson.dumps(
        {
            "factors": [
                [
                    learned.serving,
                    learned.best_effort,
                    round(learned.mean, _FACTOR_DIGITS),
                    round(learned.deviation, _FACTOR_DIGITS),
                ]
                for learned in table.factors
            ],
            "lowest_tails": table.lowest_tail_latencies,
            "peaks": {
                image: round(peak, _FACTOR_DIGITS)
                for image, peak in table.peaks.items()
            },
        }
    )


def decode_interference(value: bytes) -> placement.InterferenceTable:
    """Returns the learned interference factors of a row value.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        document = orjson.loads(value)
        table = placement.InterferenceTable(
            tuple(
                placement.InterferenceFactor(*item)
                for item in document["factors"]
            ),
            dict(document["lowest_tails"]),
            dict(document["peaks"]),
        )
        _types.check_types(table)
        return table
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise _progress.MalformedRowError(
            f"malformed interference factors in row factors: {error!r}"
        ) from error
