"""Decodes the registry entries that runners write to the platform's store."""

import re
import typing

from tamarackhatch import model
from tamarackhatch.platform import _decoding

RUNNERS_TABLE: typing.Final = "servers"
_ADDRESS_PATTERN = re.compile(r"[A-Za-z0-9._-]+:\d{1,5}", re.ASCII)
_STATE_READY = "ready"
_STATE_DRAINING = "draining"


def decode_runner(row: model.Row) -> model.Runner:
    """Returns the runner that a registry entry describes.

    Raises:
        MalformedBodyError: The entry does not describe a runner; other
            programs write to the table too.
    """
    document = _decoding.decode_object(row.value)
    state = _decoding.get_text(document, "state")
    service = _decoding.get_text(document, "service")
    address = _decoding.get_text(document, "address")
    if state not in (_STATE_READY, _STATE_DRAINING):
        raise _decoding.MalformedBodyError(f"unknown runner state {state!r}")
    if not service or not _ADDRESS_PATTERN.fullmatch(address):
        raise _decoding.MalformedBodyError(
            "service is missing, or address is not host:port"
        )
    capacity = _decoding.get_object(document.get("capacity"), "capacity")
    labels = _decoding.get_list(document, "labels")
    if not all(isinstance(label, str) for label in labels):
        raise _decoding.MalformedBodyError("an item of labels is not text")
    is_draining = state == _STATE_DRAINING
    # "zone" is the data centre, "born" the start of the runner's process in
    # Unix ms, "remaining_ms" the least time until a draining runner leaves.
    return model.Runner(
        identifier=row.ref.key,
        service=service,
        address=address,
        data_centre=_decoding.get_text(document, "zone"),
        is_draining=is_draining,
        capacity=decode_resources(capacity),
        labels=tuple(labels),
        incarnation=_decoding.get_integer(document, "born"),
        remaining=(
            _decoding.get_duration(document, "remaining_ms")
            if is_draining
            else None
        ),
    )


def decode_resources(document: dict[str, typing.Any]) -> model.Resources:
    """Returns the resources of a task or a runner.

    The fields hold thousandths of a core, MiB and whole accelerators.

    Raises:
        MalformedBodyError: An amount is not a whole number, or is negative.
    """
    resources = model.Resources(
        _decoding.get_integer(document, "cpu"),
        _decoding.get_integer(document, "mem_mb"),
        _decoding.get_integer(document, "gpu"),
    )
    if (
        min(resources.processors, resources.memory_mb, resources.accelerators)
        < 0
    ):
        raise _decoding.MalformedBodyError("an amount is negative")
    return resources
