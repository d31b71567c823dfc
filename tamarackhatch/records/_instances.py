"""Rows by which the instances know each other."""

import ipaddress

import attrs
import orjson

from tamarackhatch.records import _progress
from tamarackhatch.records import _types

_MAX_PORT = 65_535


@attrs.frozen
class InstanceRecord:
    """An instance that takes forwarded requests.

    The key of the row is the name; the other fields are the keys in its value.

    Attributes:
        name: Name of the instance.
        data_centre: Data centre in which it runs.
        address: ``host:port`` of its internal interface.
        is_fit: Whether it reaches the store and is not overloaded.
    """

    name: str
    data_centre: str
    address: str
    is_fit: bool


def encode_instance(record: InstanceRecord) -> bytes:
    """Returns the row value of an instance."""
    return orjson.dumps(
        {
            "data_centre": record.data_centre,
            "address": record.address,
            "is_fit": record.is_fit,
        }
    )


def decode_instance(name: str, value: bytes) -> InstanceRecord:
    """Returns the instance of a row.

    Raises:
        MalformedRowError: The value is malformed.
    """
    try:
        document = orjson.loads(value)
        # A newer build may add fields.
        record = InstanceRecord(
            name,
            document["data_centre"],
            document["address"],
            document["is_fit"],
        )
        _types.check_types(record)
        _check_address(record.address)
        return record
    except (KeyError, TypeError, ValueError) as error:
        raise _progress.MalformedRowError(
            f"malformed row of instance {name[:80]!r}: {error!r}"
        ) from error


def _check_address(address: str) -> None:
    """Checks that calls to an address need no name server.

    Raises:
        ValueError: It is not an IP address with a port.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError(f"{port[:20]!r} is not a port")
    if not 1 <= int(port) <= _MAX_PORT:
        raise ValueError(f"{port} is not a port")
