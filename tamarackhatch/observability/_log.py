"""Structured log on standard output, bounded and without blocking."""

import datetime
import os
import typing

import attrs
import orjson
import structlog

from tamarackhatch import clock

_LEVELS: typing.Final = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_SECOND = datetime.timedelta(seconds=1)


class LineSink:
    """Writes lines to a descriptor; drops and counts what exceeds bounds."""

    def __init__(
        self, descriptor: int, source: clock.Clock, lines_per_s: int
    ) -> None:
        self._descriptor = descriptor
        self._clock = source
        self._lines_per_s = lines_per_s
        self._window = source.get_monotonic()
        self._written = 0
        self._dropped = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines that were not written since the last report."""
        return self._dropped

    def set_rate(self, lines_per_s: int) -> None:
        """Changes the bound of lines a second."""
        self._lines_per_s = lines_per_s

    def write(self, line: bytes, is_urgent: bool) -> None:
        """Writes a line, unless the bound or the reader keeps it back."""
        now = self._clock.get_monotonic()
        if now - self._window >= _SECOND:
            self._open_window(now)
        if self._written >= self._lines_per_s and not is_urgent:
            self._dropped += 1
            return
        self._written += 1
        self._send(line)

    def _open_window(self, now: datetime.timedelta) -> None:
        self._window = now
        self._written = 0
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            event = {"event": "log_lines_dropped", "count": dropped}
            self._send(orjson.dumps(event) + b"\n")

    def _send(self, line: bytes) -> None:
        try:
            if self._rest:
                sent = os.write(self._descriptor, self._rest)
                self._rest = self._rest[sent:]
            if self._rest:
                self._dropped += 1
                return
            sent = os.write(self._descriptor, line)
            # The rest of a line that was cut goes out before the next one.
            self._rest = line[sent:]
        except BlockingIOError:
            self._dropped += 1
        except OSError:
            # Nobody reads the log any more; serving goes on without it.
            self._dropped += 1


@attrs.define
class LevelFilter:
    """Lowest level that is written; shared by the logs of all parts."""

    minimum: int = _LEVELS["info"]

    def set_level(self, level: str) -> None:
        """Changes the lowest level that is written."""
        self.minimum = _LEVELS[level]


class Log:
    """Log of one part of the program.

    Every line is a JSON object with the time, the level, the part, the
    event and the fields that decided it.
    """

    def __init__(
        self,
        sink: LineSink,
        source: clock.Clock,
        levels: LevelFilter,
        part: str = "",
    ) -> None:
        self._sink = sink
        self._clock = source
        self._levels = levels
        self._logger = structlog.wrap_logger(
            _SinkLogger(sink),
            processors=[self._add_time, _render],
            wrapper_class=structlog.BoundLogger,
            part=part,
        )

    def for_component(self, part: str) -> "Log":
        """Returns the logger of a component, with the same sink and level."""
        return Log(self._sink, self._clock, self._levels, part)

    def debug(self, event: str, **fields: typing.Any) -> None:
        """Writes a line that is needed only to follow the program."""
        if self._levels.minimum <= _LEVELS["debug"]:
            self._logger.debug(event, **fields)

    def info(self, event: str, **fields: typing.Any) -> None:
        """Writes a decision or a change of state."""
        if self._levels.minimum <= _LEVELS["info"]:
            self._logger.info(event, **fields)

    def warning(self, event: str, **fields: typing.Any) -> None:
        """Writes a fault that the program copes with."""
        if self._levels.minimum <= _LEVELS["warning"]:
            self._logger.warning(event, **fields)

    def error(self, event: str, **fields: typing.Any) -> None:
        """Writes a fault that needs an operator."""
        self._logger.error(event, **fields)

    def _add_time(
        self,
        _logger: typing.Any,
        level: str,
        event: typing.MutableMapping[str, typing.Any],
    ) -> typing.MutableMapping[str, typing.Any]:
        time = self._clock.get_utc()
        event["time"] = time.isoformat(timespec="milliseconds")
        event["level"] = level
        return event


class _SinkLogger:
    """Hands rendered lines to the sink."""

    def __init__(self, sink: LineSink) -> None:
        self._sink = sink

    def debug(self, line: bytes) -> None:
        self._sink.write(line, False)

    info = debug

    def warning(self, line: bytes) -> None:
        self._sink.write(line, True)

    error = warning


def _render(
    _logger: typing.Any,
    _level: str,
    event: typing.MutableMapping[str, typing.Any],
) -> bytes:
    return orjson.dumps(event, default=str) + b"\n"
