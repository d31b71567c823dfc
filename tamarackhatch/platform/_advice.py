"""Client of the platform's placement policy service."""

from collections.abc import Sequence
import datetime

import attrs
import orjson

from tamarackhatch import errors
from tamarackhatch.platform import _decoding
from tamarackhatch import transport

_OK = 200
# Calls of one instance are handled in turn; an answer may wait for others.
_SLACK = datetime.timedelta(seconds=2)


class AdviceUnavailableError(errors.CodedError):
    """The placement policy is not known at present."""

    def __init__(self, message: str) -> None:
        super().__init__(errors.ErrorCode.ADVICE_UNAVAILABLE, message)


@attrs.frozen
class Advice:
    """Answer of the placement policy service.

    Attributes:
        tickets: Ticket of each runner that may run the step.
        validity: How long the tickets are valid.
    """

    tickets: dict[str, str]
    validity: datetime.timedelta


class AdviceClient:
    """Asks which runners may run a step."""

    def __init__(self, client: transport.HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def ask(
        self,
        step: tuple[str, int, int],
        runners: Sequence[str],
        duration: datetime.timedelta,
    ) -> Advice:
        """Asks about runners for a step.

        Args:
            step: Job, occurrence and index of the step.
            runners: Identifiers of at most 100 runners.
            duration: How long the service takes by its own account.

        Raises:
            AdviceUnavailableError: No usable answer came.
        """
        job, occurrence, index = step
        body = {"step": f"{job}.{occurrence}.{index}", "workers": runners}
        call = transport.Call(
            "POST",
            self._address,
            "/-/advise",
            duration + _SLACK,
            orjson.dumps(body),
        )
        try:
            answer = await self._client.send(call)
            if answer.status != _OK:
                raise AdviceUnavailableError(f"status {answer.status}")
            document = _decoding.decode_object(answer.body)
            rows = _decoding.get_list(document, "allowed")
            return Advice(
                {str(row[0]): str(row[1]) for row in rows},
                _decoding.get_milliseconds(document, "validity_ms"),
            )
        except (
            transport.CallNotSentError,
            transport.CallLostError,
            _decoding.BadAnswerError,
            IndexError,
            TypeError,
        ) as error:
            raise AdviceUnavailableError(str(error)) from error
