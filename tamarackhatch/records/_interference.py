"""Row of learned interference factors, which later schedulers read."""

import orjson

from tamarackhatch import placement
from tamarackhatch.records import _progress
from tamarackhatch.records import _types

# The factors are rough estimates; more digits would only add traffic.
_FACTOR_DIGITS = 3


def encode_interference(table: placement.InterferenceTable) -> bytes:
    """Returns the row value of learned interference factors."""
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
