"""HTTP client of the platform's instance list."""

import datetime
import enum

from tamarackhatch import model
from tamarackhatch.platform import _answers
from tamarackhatch.platform import _errors
from tamarackhatch.platform import _http_pool

# Shorter than two polls, so that a slow answer delays news little.
_DEFAULT_TIMEOUT = datetime.timedelta(milliseconds=1500)


class _Role(enum.Enum):
    ENTRY = "entry"
    BACKEND = "backend"


class HttpInstanceList:
    """Implements InstanceList over HTTP.

    One malformed entry makes the whole list unusable: without the entry, a
    server that is merely misprinted would look gone, and its session could
    be fenced.
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

    async def read_instances(self) -> model.InstanceSnapshot:
        call = _http_pool.HttpCall(
            _http_pool.Lane.INSTANCE_LIST,
            "GET",
            self._address,
            "/v1/instances",
            self._timeout,
        )
        try:
            answer = await self._pool.send(call)
        except (
            _http_pool.CallNotSentError,
            _http_pool.CallLostError,
        ) as error:
            raise _errors.StoreUnavailableError(str(error)) from error
        if answer.status != 200:
            raise _errors.StoreUnavailableError(
                f"instance list answered {answer.status}"
            )
        return _read_snapshot(_answers.parse_object(answer))


def _read_snapshot(content: _answers.AnswerObject) -> model.InstanceSnapshot:
    backends: list[model.BackendServer] = []
    entries: list[model.EntryServer] = []
    seen: set[str] = set()
    for item in content.iterate_objects("instances"):
        name = item.read_text("id")
        if name in seen:
            raise _errors.BadPlatformAnswerError(
                f"{item.place}.id repeats {name}"
            )
        seen.add(name)
        if item.read_enum("role", _Role) is _Role.ENTRY:
            entries.append(_read_entry(item, name))
        else:
            backends.append(_read_backend(item, name))
    return model.InstanceSnapshot(
        content.read_time("as_of"), tuple(backends), tuple(entries)
    )


def _read_entry(item: _answers.AnswerObject, name: str) -> model.EntryServer:
    return model.EntryServer(
        name,
        item.read_enum("state", model.ServerState),
        item.read_text("data_centre"),
    )


def _read_backend(
    item: _answers.AnswerObject, name: str
) -> model.BackendServer:
    runner_address = item.read_address("runner_address")
    service = item.read_optional_text("service")
    if (runner_address is None) != (service is None):
        raise _errors.BadPlatformAnswerError(
            f"{item.place} must have both runner_address and service or none"
        )
    return model.BackendServer(
        worker=name,
        state=item.read_enum("state", model.ServerState),
        data_centre=item.read_text("data_centre"),
        rack=item.read_text("rack"),
        capacity=model.Resources(
            item.read_count("processors"),
            item.read_count("memory_mb"),
            item.read_count("accelerators"),
        ),
        worker_address=item.read_address("worker_address"),
        runner_address=runner_address,
        service=service,
    )
