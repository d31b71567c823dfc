"""HTTP client of the platform's object store."""

import datetime

from tamarackhatch.platform import _errors
from tamarackhatch.platform import _http_pool
from tamarackhatch.platform import _http_table_service

_DEFAULT_TIMEOUT = datetime.timedelta(seconds=5)


class HttpObjectStore:
    """Implements ObjectStore over HTTP."""

    def __init__(
        self,
        pool: _http_pool.HttpPool,
        address: str,
        timeout: datetime.timedelta = _DEFAULT_TIMEOUT,
    ) -> None:
        self._pool = pool
        self._address = address
        self._timeout = timeout

    async def put_object(self, key: str, content: bytes) -> None:
        await self._write("PUT", key, content, (200, 201, 204))

    async def get_object(self, key: str) -> bytes | None:
        try:
            answer = await self._send("GET", key, None)
        except _errors.StoreOutcomeUnknownError as error:
            raise _errors.StoreUnavailableError(error.message) from error
        if answer.status == 404:
            return None
        if answer.status != 200:
            raise _errors.StoreUnavailableError(
                f"object store answered {answer.status}"
            )
        if not answer.has_length:
            raise _errors.BadPlatformAnswerError(
                f"object {key} came without its length"
            )
        return answer.body

    async def delete_object(self, key: str) -> None:
        await self._write("DELETE", key, None, (200, 204, 404))

    async def _write(
        self,
        method: str,
        key: str,
        content: bytes | None,
        good: tuple[int, ...],
    ) -> None:
        answer = await self._send(method, key, content)
        if answer.status not in good:
            raise _errors.StoreOutcomeUnknownError(
                f"object store answered {answer.status}"
            )

    async def _send(
        self, method: str, key: str, content: bytes | None
    ) -> _http_pool.HttpAnswer:
        call = _http_pool.HttpCall(
            _http_pool.Lane.OBJECT,
            method,
            self._address,
            f"/v1/objects/{_http_table_service.quote_key(key)}",
            self._timeout,
            content,
            "application/octet-stream",
        )
        try:
            answer = await self._pool.send(call)
        except _http_pool.CallNotSentError as error:
            raise _errors.StoreUnavailableError(str(error)) from error
        except _http_pool.CallLostError as error:
            raise _errors.StoreOutcomeUnknownError(str(error)) from error
        if answer.status == 503:
            raise _errors.StoreUnavailableError("object store answered 503")
        return answer
