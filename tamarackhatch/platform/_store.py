"""Client of the platform's metadata store."""

import base64
from collections.abc import Callable
from collections.abc import Sequence
import datetime
import typing
import urllib.parse

import orjson

from tamarackhatch import model
from tamarackhatch.platform import _decoding
from tamarackhatch import transport

_OK = 200
_GONE = 410
_CONDITION_FAILED = 412
_TOO_MANY_REQUESTS = 429
_MIN_SERVER_ERROR = 500
# Bad request, and content too large.
_REJECTIONS = (400, 413)
# Time beyond the wait of a feed, for network latency and a slow store.
_FEED_ANSWER_ALLOWANCE = datetime.timedelta(milliseconds=900)
# A row can have hundreds of kilobytes, and an instance's link 5 Mbit/s.
_READ_TRANSFER_TIME = datetime.timedelta(seconds=8)

_MILLISECOND = datetime.timedelta(milliseconds=1)
# A larger reading of the store's clock is malformed: three hundred years.
_MAX_CLOCK_MS = 10**13

CallRecorder = Callable[[str, str, int | None], None]


class PlatformStore:
    """Reads and writes the platform's table store over HTTP.

    On the wire, "schema_version" is the version of a row, a transaction or the
    store, and "part" is the partition.
    """

    def __init__(
        self,
        client: transport.HttpClient,
        address: str,
        record_call: CallRecorder = lambda kind, table, answer_bytes: None,
        on_answer: Callable[[], None] = lambda: None,
        on_time: Callable[[datetime.timedelta], None] = lambda reading: None,
    ) -> None:
        """Creates a client of the store.

        Args:
            client: HTTP client.
            address: ``host:port`` of the store.
            record_call: Called after each call with its kind, its table and
                the size of the answer in bytes; None for no answer.
            on_answer: Called after each call that the store has answered
                without refusing it.
            on_time: Called with each reading of the store's clock.
        """
        self._on_time = on_time
        self._client = client
        self._address = address
        self._record_call = record_call
        self._on_answer = on_answer
        self._latest_version = 0

    @property
    def latest_version(self) -> int:
        """Highest version of the store in any answer so far; 0 for none."""
        return self._latest_version

    def _record_version(self, version: int) -> int:
        self._latest_version = max(self._latest_version, version)
        return version

    async def write(
        self,
        expected: Sequence[tuple[model.RowRef, int]],
        puts: Sequence[model.Put],
        removals: Sequence[model.RowRef],
        timeout: datetime.timedelta,
        *,
        is_hedge: bool = False,
    ) -> model.Committed | model.Conflict:
        """Applies all changes or none; see model.TableStore."""
        body = orjson.dumps(
            {
                "expected_rev": [
                    {**_encode_ref(ref), "schema_version": version}
                    for ref, version in expected
                ],
                "puts": [
                    {
                        **_encode_ref(put.ref),
                        "value": base64.b64encode(put.value).decode(),
                    }
                    for put in puts
                ],
                "remove": [_encode_ref(ref) for ref in removals],
            }
        )
        call = transport.Call(
            "POST",
            self._address,
            "/-/rows-tx",
            timeout,
            body,
            needs_new_connection=is_hedge,
        )
        table = puts[0].ref.table if puts else ""
        try:
            answer = await self._send(call, "write", table)
        except transport.CallNotSentError as error:
            raise model.StoreUnavailableError(str(error)) from error
        except transport.CallLostError as error:
            raise model.StoreOutcomeUnknownError(str(error)) from error
        try:
            if answer.status == _OK:
                document = _decoding.decode_object(answer.body)
                return model.Committed(
                    self._record_version(
                        _decoding.get_integer(document, "schema_version")
                    )
                )
            if answer.status == _CONDITION_FAILED:
                document = _decoding.decode_object(answer.body)
                return model.Conflict(_decode_rows(document))
        except _decoding.MalformedBodyError as error:
            raise model.StoreOutcomeUnknownError(error.message) from error
        # With every other status, the store has applied nothing.
        raise _make_refusal(answer.status, "transaction")

    async def read(
        self,
        table: str,
        partition: str,
        timeout: datetime.timedelta,
        first: str = "",
        end: str = "",
        *,
        is_hedge: bool = False,
    ) -> model.RowPage:
        """Reads rows of a partition; see model.TableStore."""
        query = {"table": table, "part": partition}
        if first:
            query["from"] = first
        if end:
            query["to"] = end
        document, _ = await self._get(
            "read", "/-/rows-get", query, timeout, is_hedge
        )
        try:
            return model.RowPage(
                _decode_rows(document),
                _decoding.get_flag(document, "has_more"),
                self._record_version(
                    _decoding.get_integer(document, "schema_version")
                ),
                self._read_clock(document),
            )
        except _decoding.MalformedBodyError as error:
            raise model.StoreUnavailableError(error.message) from error

    async def follow(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> model.FeedPage:
        """Waits for changes of a table; see model.TableStore."""
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(_decoding.count_milliseconds(wait)),
        }
        document, receive_time = await self._get(
            "feed", "/-/rows-feed", query, wait + _FEED_ANSWER_ALLOWANCE
        )
        try:
            version = self._record_version(
                _decoding.get_integer(document, "schema_version")
            )
            return model.FeedPage(
                _decode_rows(document),
                max(version, after),
                receive_time,
                self._read_clock(document),
            )
        except _decoding.MalformedBodyError as error:
            raise model.StoreUnavailableError(error.message) from error

    def _read_clock(
        self, document: dict[str, typing.Any]
    ) -> datetime.timedelta | None:
        """Returns the reading of the store's clock; None if it is malformed.

        Rows are of use without it.
        """
        value = document.get("now_ms")
        if (
            isinstance(value, bool)
            or not isinstance(value, (int, float))
            or not 0 <= value <= _MAX_CLOCK_MS
        ):
            return None
        reading = value * _MILLISECOND
        self._on_time(reading)
        return reading

    async def _get(
        self,
        kind: str,
        path: str,
        query: dict[str, str],
        timeout: datetime.timedelta,
        is_hedge: bool = False,
    ) -> tuple[dict[str, typing.Any], datetime.timedelta]:
        path = f"{path}?{urllib.parse.urlencode(query)}"
        call = transport.Call(
            "GET",
            self._address,
            path,
            timeout,
            transfer_time=_READ_TRANSFER_TIME,
            needs_new_connection=is_hedge,
        )
        try:
            answer = await self._send(call, kind, query["table"])
        except (
            transport.CallNotSentError,
            transport.CallLostError,
        ) as error:
            raise model.StoreUnavailableError(str(error)) from error
        if answer.status == _GONE:
            raise model.HistoryLostError(
                "store no longer has the changes of the feed"
            )
        if answer.status != _OK:
            raise _make_refusal(answer.status, "read")
        try:
            return _decoding.decode_object(answer.body), answer.receive_time
        except _decoding.MalformedBodyError as error:
            raise model.StoreUnavailableError(error.message) from error

    async def _send(
        self, call: transport.Call, kind: str, table: str
    ) -> transport.Answer:
        try:
            answer = await self._client.send(call)
        except (transport.CallNotSentError, transport.CallLostError):
            self._record_call(kind, table, None)
            raise
        self._record_call(kind, table, len(answer.body))
        if (
            answer.status < _MIN_SERVER_ERROR
            and answer.status != _TOO_MANY_REQUESTS
        ):
            self._on_answer()
        return answer


def _make_refusal(status: int, kind: str) -> model.StoreUnavailableError:
    text = f"store answered status {status} to a {kind}"
    if status == _TOO_MANY_REQUESTS:
        return model.StoreBusyError(text)
    if status in _REJECTIONS:
        return model.StoreRejectedError(text)
    return model.StoreUnavailableError(text)


def _encode_ref(ref: model.RowRef) -> dict[str, str]:
    return {"table": ref.table, "part": ref.partition, "key": ref.key}


def _decode_rows(
    document: dict[str, typing.Any],
) -> tuple[model.Row, ...]:
    return tuple(
        _decode_row(_decoding.get_object(item, "an item of rows"))
        for item in _decoding.get_list(document, "rows")
    )


def _decode_row(document: dict[str, typing.Any]) -> model.Row:
    for name in ("table", "key"):
        if name not in document:
            raise _decoding.MalformedBodyError(f"{name} of a row is missing")
    return model.Row(
        model.RowRef(
            _decoding.get_text(document, "table"),
            _decoding.get_text(document, "part"),
            _decoding.get_text(document, "key"),
        ),
        _decode_value(document.get("value")),
        _decoding.get_integer(document, "schema_version"),
        bool(document.get("deleted")),
    )


def _decode_value(value: object) -> bytes:
    """Returns the value of a row; empty if it cannot be read.

    Other writers share some tables with the system. What one of them has
    written must not hide the other rows of a page.
    """
    if not isinstance(value, str):
        return b""
    try:
        return base64.b64decode(value, validate=True)
    except ValueError:
        return b""
