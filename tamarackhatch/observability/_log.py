"""Structured logging with a rate limit and non-blocking writes."""

import datetime
import os
import reprlib
import typing

import attrs
import orjson
import structlog

from tamarackhatch import clock

_LEVELS: typing.Final = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_RATE_WINDOW = datetime.timedelta(seconds=1)


class LineSink:
    """Writes lines to a file descriptor without blocking.

    Drops and counts lines that exceed the rate limit or that the reader is
    too slow to take.
    """

    def __init__(
        self, descriptor: int, time_source: clock.Clock, lines_per_s: int
    ) -> None:
        self._descriptor = descriptor
        self._clock = time_source
        self._lines_per_s = lines_per_s
        self._window_start = time_source.get_monotonic()
        self._lines_in_window = 0
        self._dropped_lines = 0
        self._unsent = b""
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last log_lines_dropped event."""
        return self._dropped_lines

    def set_rate(self, lines_per_s: int) -> None:
        """Changes the rate limit, in lines per second."""
        self._lines_per_s = lines_per_s

    def admit_line(self) -> bool:
        """Returns whether a line that is not urgent may be written now.

        Otherwise it counts as dropped. A caller that asks first need not
        render lines that are dropped.
        """
        self._update_window()
        if self._lines_in_window >= self._lines_per_s:
            self._dropped_lines += 1
            return False
        return True

    def write(self, line: bytes) -> None:
        """Writes a line, or drops it if the reader is too slow.

        The line counts towards the rate limit, but is not subject to it.
        """
        self._update_window()
        self._lines_in_window += 1
        self._send(line)

    def _update_window(self) -> None:
        now = self._clock.get_monotonic()
        if now - self._window_start >= _RATE_WINDOW:
            self._start_window(now)

    def _start_window(self, now: datetime.timedelta) -> None:
        self._window_start = now
        self._lines_in_window = 0
        if self._dropped_lines:
            dropped, self._dropped_lines = self._dropped_lines, 0
            event = {"event": "log_lines_dropped", "count": dropped}
            self._send(orjson.dumps(event) + b"\n")

    def _send(self, line: bytes) -> None:
        try:
            if self._unsent:
                sent = os.write(self._descriptor, self._unsent)
                self._unsent = self._unsent[sent:]
            if self._unsent:
                self._dropped_lines += 1
                return
            sent = os.write(self._descriptor, line)
            # The rest of a partial write is sent before the next line.
            self._unsent = line[sent:]
        except BlockingIOError:
            self._dropped_lines += 1
        except OSError:
            # The reader has closed the log; the process continues without it.
            self._dropped_lines += 1


@attrs.define
class LevelFilter:
    """Lowest level that is written; shared by all loggers of a process."""

    minimum: int = _LEVELS["info"]

    def set_level(self, level: str) -> None:
        """Changes the lowest level that is written."""
        self.minimum = _LEVELS[level]


class Log:
    """Logger of one component.

    Every line is a JSON object with the time, the level, the component (field
    ``part``), the event and the fields that explain it.
    """

    def __init__(
        self,
        sink: LineSink,
        time_source: clock.Clock,
        levels: LevelFilter,
        component: str = "",
    ) -> None:
        self._sink = sink
        self._clock = time_source
        self._levels = levels
        # Without bind(), each line would make a logger of its own.
        self._logger = structlog.wrap_logger(
            _SinkLogger(sink),
            processors=[self._add_time_and_level, _render],
            wrapper_class=structlog.BoundLogger,
        ).bind(part=component)

    def for_component(self, component: str) -> "Log":
        """Returns the logger of a component, with the same sink and level."""
        return Log(self._sink, self._clock, self._levels, component)

    @property
    def is_debugging(self) -> bool:
        """Whether debug events are written; their fields may be costly."""
        return self._levels.minimum <= _LEVELS["debug"]

    def debug(self, event: str, **fields: typing.Any) -> None:
        """Logs an event that is needed only for debugging."""
        if self._levels.minimum <= _LEVELS["debug"] and (
            self._sink.admit_line()
        ):
            self._logger.debug(event, **fields)

    def info(self, event: str, **fields: typing.Any) -> None:
        """Logs a decision or a change of state."""
        if self._levels.minimum <= _LEVELS["info"] and (
            self._sink.admit_line()
        ):
            self._logger.info(event, **fields)

    def summary(self, event: str, **fields: typing.Any) -> None:
        """Logs a periodic summary at level info, whatever the line rate."""
        if self._levels.minimum <= _LEVELS["info"]:
            self._logger.msg(event, **fields)

    def warning(self, event: str, **fields: typing.Any) -> None:
        """Logs an error that the program recovers from."""
        if self._levels.minimum <= _LEVELS["warning"]:
            self._logger.warning(event, **fields)

    def error(self, event: str, **fields: typing.Any) -> None:
        """Logs an error that an operator has to act on."""
        self._logger.error(event, **fields)

    def _add_time_and_level(
        self,
        _logger: typing.Any,
        level: str,
        event: typing.MutableMapping[str, typing.Any],
    ) -> typing.MutableMapping[str, typing.Any]:
        time = self._clock.get_utc()
        event["time"] = time.isoformat(timespec="milliseconds")
        event["level"] = "info" if level == "msg" else level
        return event


class _SinkLogger:
    """Passes rendered lines to the sink."""

    def __init__(self, sink: LineSink) -> None:
        self._sink = sink

    def debug(self, line: bytes) -> None:
        self._sink.write(line)

    info = debug
    warning = debug
    error = debug
    msg = debug


def _render(
    _logger: typing.Any,
    _level: str,
    event: typing.MutableMapping[str, typing.Any],
) -> bytes:
    try:
        return orjson.dumps(event, default=str) + b"\n"
    except TypeError:
        fields = {name: _simplify(value) for name, value in event.items()}
        return orjson.dumps(fields, default=str) + b"\n"


def _simplify(value: object) -> object:
    """Returns a value that a line can hold, if need be its description.

    Integers beyond 64 bits, lone surrogates, deeply nested values and keys
    that are not text cannot be encoded.
    """
    try:
        orjson.dumps(value, default=str)
        return value
    except TypeError:
        text = value if isinstance(value, str) else reprlib.repr(value)
        return text.encode("utf-8", "backslashreplace").decode()
