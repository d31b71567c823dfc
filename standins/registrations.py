"""Registry entries of stand-ins of runners."""

import asyncio
import base64
import typing

import orjson

from tamarackhatch import model


class Runner(typing.Protocol):
    """What a runner tells of itself."""

    address: str
    service: str
    data_centre: str
    labels: list[str]
    state: str
    leaves_at: float | None
    capacity: model.Resources


def encode(
    registered: Runner, incarnation: int, number: int, clock_ms: int
) -> str:
    """Returns a registry entry as base64 text.

    Args:
        registered: The runner.
        incarnation: Its incarnation.
        number: Number of the entry.
        clock_ms: Reading of the runner's clock.
    """
    entry = {
        "service": registered.service,
        "address": registered.address,
        "zone": registered.data_centre,
        "version": "v1",
        "slots": 8,
        "state": registered.state,
        "cold_remaining_ms": 0,
        "capacity": {
            "cpu": registered.capacity.processors,
            "mem_mb": registered.capacity.memory_mb,
            "gpu": registered.capacity.accelerators,
        },
        "labels": registered.labels,
        "born": incarnation,
        "seq": number,
        "clock_ms": clock_ms,
    }
    if registered.leaves_at is not None:
        remaining_s = registered.leaves_at - asyncio.get_running_loop().time()
        entry["remaining_ms"] = max(0, int(remaining_s * 1000))
    return base64.b64encode(orjson.dumps(entry)).decode()
