"""Compressed numbers of pending jobs, for the row of the leader heartbeat."""

import base64
import typing
import zlib

import orjson

# Largest document that is decoded: fifty thousand queues.
_MAX_DOCUMENT_BYTES = 4_194_304


def pack_pending(pending: dict[str, int]) -> str:
    """Returns numbers of jobs by queue as text without quotes."""
    # Names that follow one another in sorted order compress best.
    names = sorted(pending)
    document = [names, [pending[name] for name in names]]
    data = zlib.compress(orjson.dumps(document))
    return base64.b85encode(data).decode()


def unpack_pending(text: typing.Any) -> dict[str, int]:
    """Returns the numbers of jobs by queue that `pack_pending` has encoded.

    Raises:
        ValueError: The text is malformed.
    """
    if not isinstance(text, str):
        raise ValueError("packed numbers of jobs are not text")
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(base64.b85decode(text), _MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError("packed numbers of jobs are damaged") from error
    if not unpacker.eof:
        raise ValueError("packed numbers of jobs are incomplete or too many")
    document = orjson.loads(data)
    if not (
        isinstance(document, list)
        and len(document) == 2
        and all(isinstance(column, list) for column in document)
    ):
        raise ValueError("packed numbers of jobs are not two lists")
    return dict(zip(*document, strict=True))
