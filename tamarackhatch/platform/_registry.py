"""Decodes the registry entries that runners write to the platform's store."""

import datetime
import ipaddress
import re
import typing

from tamarackhatch import model
from tamarackhatch.platform import _decoding

RUNNERS_TABLE: typing.Final = "servers"
_STATE_READY = "ready"
_STATE_DRAINING = "draining"
# Every entry has them. "cold_remaining_ms" is how much longer a runner stays
# slow after its start, and "seq" counts its entries.
_TEXTS = ("service", "address", "zone", "version", "state")
_WHOLE_NUMBERS = ("slots", "seq")
_REQUIRED = (
    *_TEXTS,
    *_WHOLE_NUMBERS,
    "cold_remaining_ms",
    "capacity",
    "labels",
)
_AMOUNTS = ("cpu", "mem_mb", "gpu")
# A million cores, or a pebibyte of memory.
_MAX_AMOUNT = 2**30
# Names in the store have at most this many bytes as well.
_MAX_TEXT = 200
# An entry has two labels, the kind and the rack.
_MAX_LABELS = 32
_MAX_HOST = 253
_MAX_PORT = 65_535
_MAX_ADDRESS = _MAX_HOST + len(":65535")
# It goes into a header of every call to the runner.
_IDENTIFIER_PATTERN = re.compile(r"[!-~]{1,200}", re.ASCII)
_HOST_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_HOST_PATTERN = re.compile(rf"{_HOST_LABEL}(?:\.{_HOST_LABEL})*", re.ASCII)
# A host whose last label is a number is taken for an IPv4 address.
_NUMERIC_END_PATTERN = re.compile(
    r"(?:.*\.)?(?:\d+|0x[0-9a-f]*)", re.ASCII | re.IGNORECASE
)
_PORT_PATTERN = re.compile(r"[1-9]\d{0,4}", re.ASCII)


def decode_runner(row: model.Row) -> model.Runner:
    """Returns the runner that a registry entry describes.

    Raises:
        MalformedBodyError: The entry does not describe a runner; other
            programs write to the table too.
    """
    if not _IDENTIFIER_PATTERN.fullmatch(row.ref.key):
        raise _decoding.MalformedBodyError("the key is no identifier")
    document = _decoding.decode_object(row.value)
    for name in _REQUIRED:
        if name not in document:
            raise _decoding.MalformedBodyError(f"{name} is missing")
    texts = {name: _get_short_text(document, name) for name in _TEXTS}
    for name in _WHOLE_NUMBERS:
        _decoding.get_integer(document, name)
    _decoding.get_duration(document, "cold_remaining_ms")
    if texts["state"] not in (_STATE_READY, _STATE_DRAINING):
        raise _decoding.MalformedBodyError("state is not known")
    if not texts["service"]:
        raise _decoding.MalformedBodyError("service is empty")
    _check_address(texts["address"])
    is_draining = texts["state"] == _STATE_DRAINING
    # "zone" is the data centre, "born" the start of the runner's process in
    # Unix ms, "clock_ms" a reading of its monotonic clock, "remaining_ms" the
    # least time until a draining runner leaves.
    # Without the latter, the runner counts as about to leave.
    return model.Runner(
        identifier=row.ref.key,
        service=texts["service"],
        address=texts["address"],
        data_centre=texts["zone"],
        is_draining=is_draining,
        capacity=_decode_capacity(document["capacity"]),
        labels=_decode_labels(document["labels"]),
        incarnation=_decoding.get_integer(document, "born"),
        remaining=(
            _decoding.get_duration(document, "remaining_ms")
            if is_draining
            else None
        ),
        clock_reading=_decode_clock(document),
    )


def decode_resources(document: dict[str, typing.Any]) -> model.Resources:
    """Returns the resources of a task or a runner.

    The fields hold thousandths of a core, MiB and whole accelerators.

    Raises:
        MalformedBodyError: An amount is not a whole number, or is negative.
    """
    resources = model.Resources(
        *(_decoding.get_integer(document, name) for name in _AMOUNTS)
    )
    if (
        min(resources.processors, resources.memory_mb, resources.accelerators)
        < 0
    ):
        raise _decoding.MalformedBodyError("an amount is negative")
    return resources


def _decode_clock(
    document: dict[str, typing.Any],
) -> datetime.timedelta | None:
    """Returns the runner's clock; None if it is missing or malformed.

    It only serves as evidence, so that a runner is usable without it.
    """
    if "clock_ms" not in document:
        return None
    try:
        reading = _decoding.get_duration(document, "clock_ms")
    except _decoding.MalformedBodyError:
        return None
    return reading if reading >= datetime.timedelta() else None


def _get_short_text(document: dict[str, typing.Any], name: str) -> str:
    text = _decoding.get_text(document, name)
    if len(text) > (_MAX_ADDRESS if name == "address" else _MAX_TEXT):
        raise _decoding.MalformedBodyError(f"{name} is too long")
    return text


def _decode_capacity(value: object) -> model.Resources:
    document = _decoding.get_object(value, "capacity")
    for name in _AMOUNTS:
        if name not in document:
            raise _decoding.MalformedBodyError(f"capacity.{name} is missing")
        if _decoding.get_integer(document, name) > _MAX_AMOUNT:
            raise _decoding.MalformedBodyError(f"capacity.{name} is too large")
    return decode_resources(document)


def _decode_labels(value: object) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise _decoding.MalformedBodyError("labels is not a list")
    if len(value) > _MAX_LABELS:
        raise _decoding.MalformedBodyError("labels has too many items")
    for label in value:
        if not isinstance(label, str):
            raise _decoding.MalformedBodyError("an item of labels is not text")
        if len(label) > _MAX_TEXT:
            raise _decoding.MalformedBodyError("an item of labels is too long")
    return tuple(value)


def _check_address(address: str) -> None:
    """Checks that calls can be sent to an address.

    Raises:
        MalformedBodyError: It is not the name or the IPv4 address of a host,
            with a port.
    """
    host, _, port = address.rpartition(":")
    if len(host) > _MAX_HOST or not _HOST_PATTERN.fullmatch(host):
        raise _decoding.MalformedBodyError("host of address is not a host")
    if not _PORT_PATTERN.fullmatch(port) or int(port) > _MAX_PORT:
        raise _decoding.MalformedBodyError("port of address is not a port")
    if not _NUMERIC_END_PATTERN.fullmatch(host):
        return
    try:
        parsed = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise _decoding.MalformedBodyError(
            "host of address is not an IPv4 address"
        ) from error
    # Calls to the address 0.0.0.0 would reach this machine.
    if parsed.is_unspecified or parsed.is_multicast or parsed.is_reserved:
        raise _decoding.MalformedBodyError("host of address is not one host")
