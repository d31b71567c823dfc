"""Client of the platform's placement policy service."""

from collections.abc import Sequence
import datetime

import attrs
import orjson

from tamarackhatch import errors
from tamarackhatch.platform import _decoding
from tamarackhatch import transport

_OK = 200
# The service handles the calls of one instance one after another, so that an
# answer may have to wait for earlier calls.
_QUEUEING_ALLOWANCE = datetime.timedelta(seconds=2)


class AdviceUnavailableError(errors.CodedError):
    """The placement policy service gave no usable answer."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.ADVICE_UNAVAILABLE, message)


@attrs.frozen
class Advice:
    """Answer of the placement policy service.

    Attributes:
        tickets: Ticket of each runner that may run the step.
        validity: How long the tickets are valid.
        unreadable: Number of entries that are malformed or repeated.
    """

    tickets: dict[str, str]
    validity: datetime.timedelta
    unreadable: int = 0


class AdviceClient:
    """Requests tickets for runners from the placement policy service."""

    def __init__(self, client: transport.HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def request_tickets(
        self,
        step: tuple[str, int, int],
        runners: Sequence[str],
        duration: datetime.timedelta,
    ) -> Advice:
        """Requests the tickets of the runners that may run a step.

        Args:
            step: Job, occurrence and index of the step.
            runners: Identifiers of at most 100 runners.
            duration: Processing time that the configuration states for the
                request.

        Raises:
            AdviceUnavailableError: No usable answer came.
        """
        job, occurrence, index = step
        body = {"step": f"{job}.{occurrence}.{index}", "workers": runners}
        call = transport.Call(
            "POST",
            self._address,
            "/-/advise",
            duration + _QUEUEING_ALLOWANCE,
            orjson.dumps(body),
        )
        try:
            answer = await self._client.send(call)
            if answer.status != _OK:
                raise AdviceUnavailableError(
                    f"placement policy service answered status {answer.status}"
                )
            document = _decoding.decode_object(answer.body)
            # Rows of "allowed" are [runner, ticket].
            rows = _decoding.get_list(document, "allowed")
            tickets = {
                row[0]: row[1] for row in rows if _is_pair_of_texts(row)
            }
            return Advice(
                tickets,
                _decoding.get_duration(document, "validity_ms"),
                len(rows) - len(tickets),
            )
        except (
            transport.CallNotSentError,
            transport.CallLostError,
            _decoding.MalformedBodyError,
        ) as error:
            raise AdviceUnavailableError(str(error)) from error


def _is_pair_of_texts(row: object) -> bool:
    return (
        isinstance(row, list)
        and len(row) == 2
        and all(isinstance(part, str) for part in row)
    )
