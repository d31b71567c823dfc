"""At-most-once journal of requests that may not be repeated.

A row is written before the request may reach a runner, on condition that
there is none. What the row says when the same request ID comes again:

- intended: the request may have run; the outcome is unknown;
- answered: the recorded answer is returned again;
- not run: the request ID may be used again.
"""

import base64
import datetime
import enum
import hashlib
import typing
import uuid

from absl import logging
import attrs

from tamarackhatch import clock as clock_module
from tamarackhatch import errors
from tamarackhatch import model
from tamarackhatch import platform
from tamarackhatch.routing import _answers

# A row is of no use once no caller asks for its request ID any more; callers
# are told to use a new ID after this time.
DEFAULT_RETENTION = datetime.timedelta(hours=24)
# Larger bodies go to the object store, as rows are read and written whole.
_MAX_ROW_BODY = 32 * 1024
_MAX_BEGIN_TRIES = 4
_FIRST_SETTLE_DELAY = datetime.timedelta(milliseconds=200)
_MAX_SETTLE_DELAY = datetime.timedelta(seconds=5)
_SETTLE_LIMIT = datetime.timedelta(seconds=30)
_RETRY_AFTER = datetime.timedelta(seconds=1)
_STORE_RETRY_AFTER = datetime.timedelta(seconds=5)
_EXPIRE_BATCH = 64

_STORE_ERRORS = (
    platform.StoreUnavailableError,
    platform.StoreOutcomeUnknownError,
)


class RequestState(enum.Enum):
    """State of a journaled request."""

    INTENDED = "intended"
    ANSWERED = "answered"
    NOT_RUN = "not run"


@attrs.frozen
class RequestRow:
    """The row of a request.

    Attributes:
        token: Random text of the attempt that wrote the row last.
        state: What is known of the request.
        digest: SHA-256 of the request, to detect a re-used ID.
        expires_at: UTC time from which the row counts as absent.
        status: HTTP status of the recorded answer.
        headers: Headers of the recorded answer.
        body: Body of the recorded answer in Base64, if it is small.
        body_key: Object key of the body, if it is large.
        body_digest: SHA-256 of the body.
    """

    token: str
    state: RequestState
    digest: str
    expires_at: datetime.datetime
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: str = ""
    body_key: str | None = None
    body_digest: str = ""


@attrs.frozen
class Intent:
    """The right of one attempt to run a request.

    Attributes:
        request_id: The request.
        row: The row as written.
        version: Version of that row, or None when the store's answer to the
            write was lost and the row could not be read.
    """

    request_id: str
    row: RequestRow
    version: int | None


@attrs.frozen
class JournalRefusal:
    """Why a request must not run.

    Attributes:
        answer: The answer to the caller.
        may_have_written: Whether the intent may be in the store, so that it
            has to be withdrawn.
    """

    answer: model.ServiceAnswer
    may_have_written: bool


class RequestJournal:
    """Keeps the at-most-once rows in the table ``requests``.

    Args:
        clock: Source of time.
        tables: The table service.
        objects: The object store, for large answers.
        retention: Time for which rows are kept.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        tables: platform.TableService,
        objects: platform.ObjectStore,
        retention: datetime.timedelta = DEFAULT_RETENTION,
    ) -> None:
        self._clock = clock
        self._tables = tables
        self._objects = objects
        self._retention = retention

    def create_intent(self, request: model.ServiceRequest) -> Intent:
        """Returns a new intent that is not written yet."""
        row = RequestRow(
            uuid.uuid4().hex,
            RequestState.INTENDED,
            _compute_digest(request),
            self._clock.get_utc() + self._retention,
        )
        return Intent(request.request_id, row, None)

    async def begin_request(self, intent: Intent) -> Intent | JournalRefusal:
        """Writes an intent.

        Returns:
            The written intent, which allows one run, or the reason why the
            request must not run now.
        """
        expected = 0
        is_unconfirmed = False
        for _ in range(_MAX_BEGIN_TRIES):
            is_foreign = False
            try:
                version = await self._write(intent, intent.row, expected)
                return attrs.evolve(intent, version=version)
            except platform.StoreUnavailableError as error:
                return JournalRefusal(
                    _answers.build_error_refusal(error, _STORE_RETRY_AFTER),
                    is_unconfirmed,
                )
            except platform.ConditionFailedError:
                is_foreign = True
            except platform.StoreOutcomeUnknownError:
                is_unconfirmed = True
            try:
                found = await self._read(intent.request_id)
            except (*_STORE_ERRORS, platform.BadPlatformAnswerError) as error:
                # An earlier submission may have written the row, and run.
                build = (
                    _answers.build_unknown
                    if is_foreign
                    or isinstance(error, platform.BadPlatformAnswerError)
                    else _answers.build_refusal
                )
                return JournalRefusal(
                    build(error.code, error.message, _STORE_RETRY_AFTER),
                    is_unconfirmed,
                )
            if found is None:
                expected = 0
                continue
            row, version = found
            if row.token == intent.row.token:
                return attrs.evolve(intent, version=version)
            answer = await self._answer_repetition(intent, row)
            if answer is not None:
                # The row is another submission's, so a late write of ours
                # fails its condition.
                return JournalRefusal(answer, False)
            expected = version
        return JournalRefusal(
            _answers.build_unknown(
                errors.ErrorCode.DUPLICATE_REQUEST,
                "the request is submitted several times at once",
                _RETRY_AFTER,
            ),
            is_unconfirmed,
        )

    async def settle_request(
        self, intent: Intent, answer: model.ServiceAnswer
    ) -> None:
        """Records the outcome; repeats until the store confirms it.

        After an unknown outcome the row stays as it is. Gives up after a
        bounded time: the request ID then keeps the outcome "unknown".
        """
        if answer.outcome is model.Outcome.NOT_RUN:
            await self.withdraw_request(intent)
        elif answer.outcome is model.Outcome.ANSWERED:
            await self._settle(intent, answer)

    async def withdraw_request(self, intent: Intent) -> None:
        """Makes the ID of a request that was not run usable again."""
        await self._settle(intent, None)

    async def _settle(
        self, intent: Intent, answer: model.ServiceAnswer | None
    ) -> None:
        give_up_at = self._clock.get_monotonic() + _SETTLE_LIMIT
        delay = _FIRST_SETTLE_DELAY
        while True:
            try:
                await self._settle_once(intent, answer)
                return
            except (*_STORE_ERRORS, platform.ConditionFailedError) as error:
                # A failed condition may be due to our own write whose
                # answer was lost, so the next round reads the row first.
                intent = attrs.evolve(intent, version=None)
                reason = error.message
            except platform.BadPlatformAnswerError as error:
                reason = error.message
                give_up_at = self._clock.get_monotonic()
            if self._clock.get_monotonic() >= give_up_at:
                logging.warning(
                    "routing: request=%s outcome not recorded reason=%r",
                    intent.request_id,
                    reason,
                )
                return
            await self._clock.sleep(delay)
            delay = min(2 * delay, _MAX_SETTLE_DELAY)

    async def remove_expired(self) -> int:
        """Deletes rows that have expired; returns how many.

        Raises:
            StoreUnavailableError: The store is out.
            StoreOutcomeUnknownError: A deletion may have happened.
        """
        now = self._clock.get_utc()
        expired = []
        for item in await self._tables.scan_rows(platform.Table.REQUESTS, ""):
            try:
                row = platform.decode_row(item.value, RequestRow)
            except platform.BadPlatformAnswerError as error:
                logging.warning(
                    "routing: request=%s row is kept reason=%r",
                    item.key,
                    error.message,
                )
                continue
            if row.expires_at <= now:
                expired.append((item, row))
        removed = 0
        for start in range(0, len(expired), _EXPIRE_BATCH):
            batch = expired[start : start + _EXPIRE_BATCH]
            removed += await self._remove_rows(batch)
        return removed

    async def _remove_rows(
        self, batch: list[tuple[platform.Row, RequestRow]]
    ) -> int:
        table = platform.Table.REQUESTS
        transaction = platform.Transaction(
            tuple(
                platform.Condition(table, item.key, item.version)
                for item, _ in batch
            ),
            tuple(platform.Write(table, item.key, None) for item, _ in batch),
        )
        try:
            await self._tables.commit(transaction)
        except platform.ConditionFailedError:
            # One of the IDs was just used anew; the next round finds the
            # rest.
            return 0
        for _, row in batch:
            if row.body_key is not None:
                await self._objects.delete_object(row.body_key)
        return len(batch)

    async def _settle_once(
        self, intent: Intent, answer: model.ServiceAnswer | None
    ) -> None:
        row = attrs.evolve(intent.row, state=RequestState.NOT_RUN)
        if answer is not None:
            row = await self._build_answered_row(intent, answer)
        version = intent.version
        if version is None:
            found = await self._read(intent.request_id)
            if found is None:
                # The first write may still be under way. Its condition
                # fails once a row is there.
                version = 0
            elif found[0].token != intent.row.token:
                return
            elif found[0].state is not RequestState.INTENDED:
                return
            else:
                version = found[1]
        await self._write(intent, row, version)

    async def _build_answered_row(
        self, intent: Intent, answer: model.ServiceAnswer
    ) -> RequestRow:
        body = ""
        body_key = None
        if len(answer.body) > _MAX_ROW_BODY:
            body_key = f"requests/{intent.request_id}/{intent.row.token}"
            await self._objects.put_object(body_key, answer.body)
        else:
            body = base64.b64encode(answer.body).decode()
        return attrs.evolve(
            intent.row,
            state=RequestState.ANSWERED,
            status=answer.status,
            headers=answer.headers,
            body=body,
            body_key=body_key,
            body_digest=hashlib.sha256(answer.body).hexdigest(),
        )

    async def _answer_repetition(
        self, intent: Intent, row: RequestRow
    ) -> model.ServiceAnswer | None:
        """Returns the answer if the ID is in use, or None if it is free."""
        if row.expires_at <= self._clock.get_utc():
            return None
        if row.digest != intent.row.digest:
            return _answers.build_refusal(
                errors.ErrorCode.DUPLICATE_REQUEST,
                "the request ID was used for another request",
            )
        if row.state is RequestState.NOT_RUN:
            return None
        return await self._read_outcome(row)

    async def _read_outcome(self, row: RequestRow) -> model.ServiceAnswer:
        if row.state is RequestState.INTENDED:
            return _answers.build_unknown(
                errors.ErrorCode.DUPLICATE_REQUEST,
                "the request was submitted before and may have run",
                _RETRY_AFTER,
            )
        try:
            body = await self._read_body(row)
        except _STORE_ERRORS as error:
            return _answers.build_unknown(
                error.code, error.message, _STORE_RETRY_AFTER
            )
        if body is None or hashlib.sha256(body).hexdigest() != row.body_digest:
            return _answers.build_unknown(
                errors.ErrorCode.BAD_PLATFORM_ANSWER,
                "the recorded answer is damaged",
            )
        return model.ServiceAnswer(
            model.Outcome.ANSWERED, row.status, row.headers, body
        )

    async def _read_body(self, row: RequestRow) -> bytes | None:
        if row.body_key is not None:
            return await self._objects.get_object(row.body_key)
        try:
            return base64.b64decode(row.body, validate=True)
        except ValueError:
            return None

    async def _read(self, request_id: str) -> tuple[RequestRow, int] | None:
        found = await self._tables.read_row(
            platform.Table.REQUESTS, request_id
        )
        if found is None:
            return None
        return platform.decode_row(found.value, RequestRow), found.version

    async def _write(
        self, intent: Intent, row: RequestRow, expected: int
    ) -> int:
        table = platform.Table.REQUESTS
        versions = await self._tables.commit(
            platform.Transaction(
                (platform.Condition(table, intent.request_id, expected),),
                (
                    platform.Write(
                        table, intent.request_id, platform.encode_value(row)
                    ),
                ),
            )
        )
        return versions[0]


def _compute_digest(request: model.ServiceRequest) -> str:
    digest = hashlib.sha256()
    parts: typing.Iterable[bytes] = (
        request.service.encode(),
        request.method.encode(),
        request.path.encode(),
        request.body,
    )
    for part in parts:
        digest.update(str(len(part)).encode() + b":" + part)
    return digest.hexdigest()
