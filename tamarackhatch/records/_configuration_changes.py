"""Rows that carry changes of the configuration to all instances."""

import datetime
import typing
import zlib

import attrs
import orjson

from tamarackhatch import model
from tamarackhatch.records import _limits
from tamarackhatch.records import _names
from tamarackhatch.records import _progress
from tamarackhatch.records import _types

_MILLISECOND = datetime.timedelta(milliseconds=1)
# The rest is for the line before the data.
_MAX_DATA_BYTES = _limits.MAX_VALUE_BYTES - 200
# Largest change that is decoded. The operator's rows are far smaller.
_MAX_DOCUMENT_BYTES = 16_777_216


@attrs.frozen
class ChangePart:
    """A row with part of an encoded change.

    Field names, apart from data, are keys in the row.

    Attributes:
        base: Version to which the change can be applied.
        version: Version that results.
        part: Number of the part, from 0.
        parts: Number of parts of the change.
        data: Bytes of the part.
    """

    base: int
    version: int
    part: int
    parts: int
    data: bytes


_PART_FIELDS = ("base", "version", "part", "parts")


def encode_change(
    change: model.ConfigurationChange, slot: int
) -> list[model.Put]:
    """Returns the rows that publish a change.

    Args:
        change: The change.
        slot: Number that names the rows; a later change with the same number
            replaces it.
    """
    return [
        model.Put(_names.get_change_ref(slot, part), value)
        for part, value in enumerate(_encode_parts(change))
    ]


def encode_copy(configuration: model.Configuration) -> list[model.Put]:
    """Returns the rows that hold a whole configuration."""
    change = model.compute_change(model.EMPTY_CONFIGURATION, configuration)
    return [
        model.Put(_names.get_copy_ref(part), value)
        for part, value in enumerate(_encode_parts(change))
    ]


def _encode_parts(change: model.ConfigurationChange) -> list[bytes]:
    """Returns the values of the rows that hold a change."""
    document = [
        [_encode_queue(queue) for queue in change.queues],
        list(change.removed),
        [attrs.astuple(service) for service in change.services],
        [
            change.limits.max_header,
            change.limits.max_body,
            change.limits.header_timeout / _MILLISECOND,
            change.limits.idle_timeout / _MILLISECOND,
        ],
    ]
    data = zlib.compress(orjson.dumps(document))
    pieces = [
        data[start : start + _MAX_DATA_BYTES]
        for start in range(0, len(data), _MAX_DATA_BYTES)
    ]
    return [
        orjson.dumps(
            {
                "base": change.base,
                "version": change.version,
                "part": part,
                "parts": len(pieces),
            }
        )
        + b"\n"
        + piece
        for part, piece in enumerate(pieces)
    ]


def decode_change_part(value: bytes) -> ChangePart:
    """Returns the part of a change that a row holds.

    Raises:
        MalformedRowError: The value is malformed.
    """
    head, _, data = value.partition(b"\n")
    try:
        document = orjson.loads(head)
        part = ChangePart(
            *(document[name] for name in _PART_FIELDS), data  # type: ignore
        )
        _types.check_types(part)
        if not 0 <= part.part < part.parts or part.base >= part.version:
            raise ValueError("impossible part or version")
        return part
    except (ValueError, KeyError, TypeError) as error:
        raise _progress.MalformedRowError(
            f"malformed part of a configuration change: {error!r}"
        ) from error


def decode_change(
    parts: typing.Sequence[ChangePart],
) -> model.ConfigurationChange:
    """Returns the change that all its parts make up, in their order.

    Raises:
        MalformedRowError: The parts do not make up a change.
    """
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(
            b"".join(part.data for part in parts), _MAX_DOCUMENT_BYTES
        )
        if not unpacker.eof:
            raise ValueError("the change is incomplete or too large")
        queues, removed, services, limits = orjson.loads(text)
        change = model.ConfigurationChange(
            parts[0].base,
            parts[0].version,
            tuple(_decode_queue(fields) for fields in queues),
            tuple(removed),
            tuple(model.Service(*fields) for fields in services),
            model.RequestLimits(
                limits[0],
                limits[1],
                limits[2] * _MILLISECOND,
                limits[3] * _MILLISECOND,
            ),
        )
        _types.check_types(change)
        return change
    except (
        ArithmeticError,
        LookupError,
        TypeError,
        ValueError,
        zlib.error,
    ) as error:
        raise _progress.MalformedRowError(
            f"malformed configuration change: {error!r}"
        ) from error


def _encode_queue(queue: model.Queue) -> list[typing.Any]:
    advice = queue.advice
    return [
        queue.name,
        queue.host,
        queue.path_prefix,
        queue.service,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.target_latency / _MILLISECOND,
        advice
        and [
            advice.decision / _MILLISECOND,
            advice.per_runner / _MILLISECOND,
            advice.validity / _MILLISECOND,
        ],
    ]


def _decode_queue(fields: list[typing.Any]) -> model.Queue:
    *values, target, advice = fields
    timing = (
        None
        if advice is None
        else model.AdviceTiming(*(part * _MILLISECOND for part in advice))
    )
    values += [target * _MILLISECOND, timing]
    return model.Queue(*values)
