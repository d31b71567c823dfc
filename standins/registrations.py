"""Registry entries of stand-ins of runners."""

import base64
import typing

import orjson

from tamarackhatch import model


def encode(
    fields: dict[str, typing.Any],
    capacity: model.Resources,
    remaining_s: float | None,
) -> str:
    """Returns an entry as base64 text.

    Args:
        fields: Fields that differ between runners and their entries.
        capacity: Capacity that the runner registers.
        remaining_s: Seconds until a draining runner leaves; None if the
            entry does not tell.
    """
    entry = {
        **fields,
        "version": "v1",
        "slots": 8,
        "cold_remaining_ms": 0,
        "capacity": {
            "cpu": capacity.processors,
            "mem_mb": capacity.memory_mb,
            "gpu": capacity.accelerators,
        },
    }
    if remaining_s is not None:
        entry["remaining_ms"] = max(0, int(remaining_s * 1000))
    return base64.b64encode(orjson.dumps(entry)).decode()
