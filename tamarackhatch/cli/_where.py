"""Asks the active scheduler where a job would be placed now."""

import asyncio
import datetime
import http
import ipaddress
import pathlib
import typing

import attrs
import orjson

from tamarackhatch import api
from tamarackhatch import clock
from tamarackhatch import errors
from tamarackhatch import settings
from tamarackhatch import transport
from tamarackhatch import where

_CONNECTIONS = 1
_TIMEOUT = datetime.timedelta(seconds=5)
# A takeover takes up to 3 s; a scheduler that limits dry runs is free sooner.
_MAX_TIME = datetime.timedelta(seconds=6)
_RETRY_PAUSE = datetime.timedelta(milliseconds=500)
_LOOPBACK_ADDRESSES = {4: "127.0.0.1", 6: "::1"}

Document = dict[str, typing.Any]


class NoAnswerError(Exception):
    """There is no answer, for a reason other than a faulty job."""


class UsageError(Exception):
    """The options of the command do not fit together."""


@attrs.frozen
class JobOptions:
    """Options that describe a job of one step of batch tasks.

    Attributes:
        queue: Name of the queue.
        tasks: Number of tasks.
        processors: Processor time of each task, in thousandths of a core.
        memory_mb: Memory of each task, in megabytes.
        preferred_rack: Rack that holds the tasks' data.
    """

    queue: str | None = None
    tasks: int | None = None
    processors: int | None = None
    memory_mb: int | None = None
    preferred_rack: str | None = None


@attrs.frozen
class JobSource:
    """The job, and where faults in it are found.

    Attributes:
        body: The job document.
        name: Name of its file or of the command line.
    """

    body: bytes
    name: str


def read_job(path: str | None, options: JobOptions) -> JobSource:
    """Returns the job of a file or of the options, and checks it.

    Args:
        path: Path of a job file; None if the options describe the job.
        options: The options.

    Raises:
        FindingsError: The job is invalid.
        UsageError: Both or none are given, or an option is missing.
    """
    values = attrs.asdict(options)
    if path is not None:
        given = [name for name, value in values.items() if value is not None]
        if given:
            raise UsageError(
                f"a job file is given, so that {_list_options(given)} must "
                "not be given"
            )
        return _check(JobSource(_read_file(path), path))
    rack = values.pop("preferred_rack")
    missing = [name for name, value in values.items() if value is None]
    if missing:
        raise UsageError(
            "give a job file, or --queue, --tasks, --processors and "
            f"--memory-mb; missing: {_list_options(missing)}"
        )
    step: Document = {
        "count": options.tasks,
        "resources": {
            "processors": options.processors,
            "memory_mb": options.memory_mb,
        },
    }
    if rack is not None:
        step["preferred_rack"] = rack
    body = orjson.dumps({"queue": options.queue, "steps": [step]})
    return _check(JobSource(body, "command line"))


def _list_options(names: list[str]) -> str:
    return ", ".join("--" + name.replace("_", "-") for name in names)


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        reason = error.strerror or type(error).__name__
        raise errors.FindingsError(
            [
                errors.Finding(
                    errors.SourceLocation(path, 1, 1),
                    errors.ErrorCode.UNREADABLE_FILE,
                    f"cannot read the file: {reason}",
                )
            ]
        ) from error


def _check(source: JobSource) -> JobSource:
    # A large document is not parsed, since that takes long.
    where.check_size(len(source.body), 0, source.name)
    document = api.read_job(source.body, source.name)
    tasks = sum(step.count for step in document.steps)
    where.check_size(len(source.body), tasks, source.name)
    return source


def ask(path: str, source: JobSource) -> Document:
    """Returns the answer of the active scheduler.

    Args:
        path: Path of the settings file of any instance.
        source: The job.

    Raises:
        FindingsError: The settings file or the job is invalid.
        NoAnswerError: There is no answer.
    """
    configured = settings.load_settings(path)
    address = configured.metrics_address
    if address is None or not address.port:
        raise NoAnswerError(
            f"{path}: metrics_address is not set, so that the instance "
            f"{configured.instance} cannot be asked"
        )
    if address.is_wildcard:
        version = ipaddress.ip_address(address.host).version
        address = attrs.evolve(address, host=_LOOPBACK_ADDRESSES[version])
    return asyncio.run(_ask(source, str(address)))


async def _ask(source: JobSource, address: str) -> Document:
    # The client belongs to the event loop that runs when it is made.
    return await _Inquiry(source).run(address)


class _Inquiry:
    """Calls instances until the active scheduler has answered."""

    def __init__(self, source: JobSource) -> None:
        self._source = source
        self._clock = clock.SystemClock()
        self._client = transport.HttpClient(self._clock, _CONNECTIONS)
        # Why the instances asked since the last pause have not answered.
        self._reasons: list[str] = []

    async def run(self, first: str) -> Document:
        """Returns the answer.

        Args:
            first: Address of the instance to ask first.

        Raises:
            FindingsError: The job is invalid.
            NoAnswerError: There is no answer.
        """
        deadline = self._clock.get_monotonic() + _MAX_TIME
        address = first
        asked: set[str] = set()
        try:
            while True:
                asked.add(address)
                answer = await self._call(address)
                following = None
                if answer is not None:
                    document = _decode(address, answer)
                    if answer.status == http.HTTPStatus.OK:
                        return document
                    following = self._handle_refusal(address, answer, document)
                elif address == first:
                    break
                if following is None or following in asked:
                    if self._clock.get_monotonic() >= deadline:
                        break
                    # A takeover is in progress, or dry runs are limited.
                    await self._clock.sleep(_RETRY_PAUSE)
                    asked.clear()
                    self._reasons.clear()
                    following = first
                address = following
        finally:
            self._client.close()
        raise NoAnswerError("\n".join(self._reasons))

    async def _call(self, address: str) -> transport.Answer | None:
        call = transport.Call(
            "POST", address, where.PATH, _TIMEOUT, self._source.body
        )
        try:
            return await self._client.send(call)
        except (
            transport.CallNotSentError,
            transport.CallLostError,
        ) as error:
            self._reasons.append(f"no answer from {address}: {error}")
            return None

    def _handle_refusal(
        self, address: str, answer: transport.Answer, document: Document
    ) -> str | None:
        """Returns the address to ask next; None to try again after a pause.

        Raises:
            FindingsError: The job is invalid.
            NoAnswerError: Another attempt would have the same outcome.
        """
        message = str(document.get("error", "no reason given"))
        self._reasons.append(f"{address} answered {answer.status}: {message}")
        if answer.status == http.HTTPStatus.CONFLICT:
            following = document.get("metrics_address")
            if _is_address(following):
                return str(following)
            raise NoAnswerError("\n".join(self._reasons))
        if answer.status == http.HTTPStatus.BAD_REQUEST and document.get(
            "findings"
        ):
            try:
                findings = [
                    self._read_finding(item) for item in document["findings"]
                ]
            except (KeyError, TypeError, ValueError) as error:
                # A later build may have further codes.
                raise NoAnswerError("\n".join(self._reasons)) from error
            raise errors.FindingsError(findings)
        if answer.status in (
            http.HTTPStatus.TOO_MANY_REQUESTS,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
        ):
            return None
        raise NoAnswerError("\n".join(self._reasons))

    def _read_finding(self, item: Document) -> errors.Finding:
        return errors.Finding(
            errors.SourceLocation(
                self._source.name, item["line"], item["column"]
            ),
            errors.ErrorCode(item["code"]),
            item["message"],
        )


def _decode(address: str, answer: transport.Answer) -> Document:
    """Returns the JSON object of an answer.

    Raises:
        NoAnswerError: The answer is of another program or an earlier build.
    """
    try:
        document = orjson.loads(answer.body)
    except orjson.JSONDecodeError:
        document = None
    is_answer = answer.status != http.HTTPStatus.OK or (
        isinstance(document, dict) and "steps" in document
    )
    if not is_answer or not isinstance(document, dict):
        raise NoAnswerError(
            f"{address} answered {answer.status} without the JSON object of a "
            "dry run; the instance runs a build without this command, or the "
            "address belongs to another program"
        )
    return document


def _is_address(text: object) -> bool:
    """Returns whether a text is an IP address with a port."""
    if not isinstance(text, str):
        return False
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and len(port) <= 5


def format_output(document: Document, is_json: bool) -> str:
    """Returns what the command prints.

    Args:
        document: The answer.
        is_json: Whether JSON is printed.
    """
    if is_json:
        option = orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
        return orjson.dumps(document, option=option).decode()
    return where.format_answer(document)
