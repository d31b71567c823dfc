"""HTTP client of the platform's table service."""

import datetime
import json
from urllib import parse

from tamarackhatch.platform import _answers
from tamarackhatch.platform import _errors
from tamarackhatch.platform import _http_pool
from tamarackhatch.platform import _table_service

# The session's renewal must be tried several times within 7 s.
_DEFAULT_TIMEOUT = datetime.timedelta(seconds=2)


class HttpTableService:
    """Implements TableService over HTTP.

    Any failure of a read means that nothing was learned, so it is
    StoreUnavailableError, or BadPlatformAnswerError for a malformed answer.
    """

    def __init__(
        self,
        pool: _http_pool.HttpPool,
        address: str,
        timeout: datetime.timedelta = _DEFAULT_TIMEOUT,
    ) -> None:
        self._pool = pool
        self._address = address
        self._timeout = timeout

    async def read_row(
        self, table: _table_service.Table, key: str
    ) -> _table_service.Row | None:
        answer = await self._read(f"{_build_path(table)}/{quote_key(key)}")
        content = _answers.parse_object(answer)
        # A 404 counts only with the body of the table service. A proxy or a
        # server that does not know the path would otherwise make a row
        # appear absent.
        if answer.status == 404:
            if content.read_text("key") == key:
                content.read_count("version")
                return None
        elif (row := _read_row(content)).key == key:
            return row
        raise _errors.BadPlatformAnswerError("answer is for another row")

    async def scan_rows(
        self, table: _table_service.Table, prefix: str
    ) -> tuple[_table_service.Row, ...]:
        query = parse.urlencode({"prefix": prefix})
        answer = await self._read(f"{_build_path(table)}?{query}")
        if answer.status == 404:
            raise _errors.BadPlatformAnswerError("scan answered 404")
        content = _answers.parse_object(answer)
        rows = {}
        for item in content.iterate_objects("rows"):
            row = _read_row(item)
            if not row.key.startswith(prefix) or row.key in rows:
                raise _errors.BadPlatformAnswerError(
                    f"{item.place}.key is outside the prefix or repeated"
                )
            rows[row.key] = row
        return tuple(rows[key] for key in sorted(rows))

    async def commit(
        self, transaction: _table_service.Transaction
    ) -> tuple[int, ...]:
        call = _http_pool.HttpCall(
            _choose_lane(transaction),
            "POST",
            self._address,
            "/v1/transactions",
            self._timeout,
            _encode_transaction(transaction),
        )
        try:
            answer = await self._pool.send(call)
        except _http_pool.CallNotSentError as error:
            raise _errors.StoreUnavailableError(str(error)) from error
        except _http_pool.CallLostError as error:
            raise _errors.StoreOutcomeUnknownError(str(error)) from error
        if answer.status == 503:
            raise _errors.StoreUnavailableError("store answered 503")
        try:
            if answer.status == 200:
                return _read_versions(answer, transaction)
            if answer.status == 409:
                failed = _read_failed(answer, transaction)
                raise _errors.ConditionFailedError(failed)
        except _errors.BadPlatformAnswerError as error:
            raise _errors.StoreOutcomeUnknownError(error.message) from error
        raise _errors.StoreOutcomeUnknownError(
            f"store answered {answer.status}"
        )

    async def _read(self, path: str) -> _http_pool.HttpAnswer:
        call = _http_pool.HttpCall(
            _http_pool.Lane.STORE_READ,
            "GET",
            self._address,
            path,
            self._timeout,
        )
        try:
            answer = await self._pool.send(call)
        except (
            _http_pool.CallNotSentError,
            _http_pool.CallLostError,
        ) as error:
            raise _errors.StoreUnavailableError(str(error)) from error
        if answer.status not in (200, 404):
            raise _errors.StoreUnavailableError(
                f"store answered {answer.status}"
            )
        return answer


def quote_key(key: str) -> str:
    """Returns a key as one segment of a path."""
    if not key:
        raise ValueError("key must not be empty")
    return parse.quote(key, safe="")


def _build_path(table: _table_service.Table) -> str:
    return f"/v1/tables/{table.value}/rows"


def _choose_lane(transaction: _table_service.Transaction) -> _http_pool.Lane:
    tables = {write.table for write in transaction.writes}
    if _table_service.Table.SESSIONS in tables:
        return _http_pool.Lane.SESSION
    return _http_pool.Lane.STORE_WRITE


def _encode_transaction(transaction: _table_service.Transaction) -> bytes:
    content = {
        "conditions": [
            {
                "table": item.table.value,
                "key": item.key,
                "version": item.version,
            }
            for item in transaction.conditions
        ],
        "writes": [
            {"table": item.table.value, "key": item.key, "value": item.value}
            for item in transaction.writes
        ],
    }
    return json.dumps(content, allow_nan=False).encode()


def _read_row(content: _answers.AnswerObject) -> _table_service.Row:
    return _table_service.Row(
        content.read_text("key"),
        content.read_count("version", 1),
        content.read_object("value"),
    )


def _read_versions(
    answer: _http_pool.HttpAnswer, transaction: _table_service.Transaction
) -> tuple[int, ...]:
    versions = _answers.parse_object(answer).read_list("versions")
    writes = transaction.writes
    if len(versions) != len(writes):
        raise _errors.BadPlatformAnswerError(
            f"answer has {len(versions)} versions for {len(writes)} writes"
        )
    floors = {
        (item.table, item.key): item.version for item in transaction.conditions
    }
    for version, write in zip(versions, writes):
        floor = floors.get((write.table, write.key), 0)
        is_valid = type(version) is int and (
            version == 0 if write.value is None else version > floor
        )
        if not is_valid:
            raise _errors.BadPlatformAnswerError(
                f"version {version!r} of {write.table.value}/{write.key}"
                " is impossible"
            )
    return tuple(versions)


def _read_failed(
    answer: _http_pool.HttpAnswer, transaction: _table_service.Transaction
) -> tuple[_table_service.Condition, ...]:
    failed = tuple(
        _table_service.Condition(
            item.read_enum("table", _table_service.Table),
            item.read_text("key"),
            item.read_count("version"),
        )
        for item in _answers.parse_object(answer).iterate_objects("failed")
    )
    if not failed or not set(failed) <= set(transaction.conditions):
        raise _errors.BadPlatformAnswerError(
            "failed conditions are not those of the transaction"
        )
    return failed
