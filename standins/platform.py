"""Stand-in for the table service, the object store and the instance list.

Started as ``python -m standins.platform --port P``. ``POST /admin/faults``
sets faults, ``POST /admin/instances`` the instance list, ``GET
/admin/counts`` returns what was served.
"""

import argparse
import asyncio
import datetime
import enum
import json
import typing

import attrs
from tornado import httpserver
from tornado import web

from standins import serving
from standins import tables


class Outage(enum.Enum):
    """How requests fail during an outage; none of them takes effect."""

    NONE = "none"
    REFUSE = "refuse"
    CLOSE = "close"
    SILENT = "silent"


@attrs.define
class Faults:
    """Faults in force.

    Attributes:
        outage: What happens to every request of the parts.
        slow_ms: Delay before each request is served.
        lose_after: Coming writes that take effect without an answer.
        lose_before: Coming writes that neither take effect nor get an
            answer.
        parts: Parts that the faults apply to.
    """

    outage: Outage = Outage.NONE
    slow_ms: int = 0
    lose_after: int = 0
    lose_before: int = 0
    parts: tuple[str, ...] = ("tables", "objects", "instances")


@attrs.define
class Counts:
    """What was served since the start."""

    reads: int = 0
    writes: int = 0
    applied: int = 0
    refused: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    in_progress: int = 0
    max_in_progress: int = 0


class PlatformState:
    """All state of the stand-in."""

    def __init__(self, lag_ms: int = 0) -> None:
        self.tables = tables.TableStore()
        self.objects: dict[str, bytes] = {}
        self.board = tables.InstanceBoard(lag_ms / 1000)
        self.faults = Faults()
        self.counts = Counts()


class _PartHandler(serving.JsonHandler):
    """Counts requests and applies the faults to them."""

    part = ""

    def initialize(self, state: PlatformState) -> None:
        self._state = state

    async def prepare(self) -> None:
        counts = self._state.counts
        counts.in_progress += 1
        counts.max_in_progress = max(
            counts.max_in_progress, counts.in_progress
        )
        counts.bytes_in += len(self.request.body)
        if self.request.method == "GET":
            counts.reads += 1
        else:
            counts.writes += 1
        faults = self._state.faults
        if self.part not in faults.parts:
            return
        await asyncio.sleep(faults.slow_ms / 1000)
        if faults.outage is Outage.REFUSE:
            counts.refused += 1
            self.write_json({"reason": "outage"}, 503)
        elif faults.outage is Outage.CLOSE:
            self.close_connection()
        elif faults.outage is Outage.SILENT:
            await self.hold()
        elif self.request.method != "GET" and faults.lose_before > 0:
            faults.lose_before -= 1
            self.close_connection()

    def finish_write(self, value: typing.Any) -> None:
        """Answers a write that took effect, or loses the answer."""
        self._state.counts.applied += 1
        faults = self._state.faults
        if self.part in faults.parts and faults.lose_after > 0:
            faults.lose_after -= 1
            self.close_connection()
            return
        self.write_json(value)

    def finish(self, chunk: typing.Any = None) -> typing.Any:
        if isinstance(chunk, str | bytes):
            self._state.counts.bytes_out += len(chunk)
        return super().finish(chunk)

    def on_finish(self) -> None:
        self._leave()

    def close_connection(self) -> None:
        self._leave()
        super().close_connection()

    def _leave(self) -> None:
        if not getattr(self, "_has_left", False):
            self._has_left = True
            self._state.counts.in_progress -= 1


class _RowHandler(_PartHandler):
    part = "tables"

    def get(self, table: str, key: str) -> None:
        row = self._state.tables.get_row(table, key)
        if row is None:
            self.write_json({"key": key, "version": 0}, 404)
        else:
            self.write_json(_show_row(key, row))


class _ScanHandler(_PartHandler):
    part = "tables"

    def get(self, table: str) -> None:
        prefix = self.get_query_argument("prefix", "", strip=False)
        rows = self._state.tables.list_rows(table, prefix)
        self.write_json({"rows": [_show_row(key, row) for key, row in rows]})


class _TransactionHandler(_PartHandler):
    part = "tables"

    def post(self) -> None:
        try:
            versions = self._state.tables.apply(self.read_json())
        except tables.ConditionsFailedError as error:
            self.write_json({"failed": error.failed}, 409)
        except tables.BadTransactionError as error:
            self.write_json({"reason": str(error)}, 400)
        else:
            self.finish_write({"versions": versions})


class _ObjectHandler(_PartHandler):
    part = "objects"

    def get(self, key: str) -> None:
        content = self._state.objects.get(key)
        if content is None:
            self.write_json({"key": key}, 404)
        else:
            self.set_header("Content-Type", "application/octet-stream")
            self.finish(content)

    def put(self, key: str) -> None:
        self._state.objects[key] = self.request.body
        self.finish_write({"key": key})

    def delete(self, key: str) -> None:
        self._state.objects.pop(key, None)
        self.finish_write({"key": key})


class _InstancesHandler(_PartHandler):
    part = "instances"

    def get(self) -> None:
        as_of, instances = self._state.board.get_shown()
        moment = datetime.datetime.fromtimestamp(as_of, datetime.timezone.utc)
        self.write_json({"as_of": moment.isoformat(), "instances": instances})


class _FaultsHandler(serving.JsonHandler):
    def initialize(self, state: PlatformState) -> None:
        self._state = state

    def post(self) -> None:
        """Replaces all faults; a key that is left out is no fault."""
        content = self.read_json()
        try:
            self._state.faults = Faults(
                Outage(content.get("outage", "none")),
                int(content.get("slow_ms", 0)),
                int(content.get("lose_after", 0)),
                int(content.get("lose_before", 0)),
                tuple(content.get("parts", Faults().parts)),
            )
        except ValueError as error:
            raise web.HTTPError(400) from error
        self.write_json({})


class _BoardHandler(serving.JsonHandler):
    def initialize(self, state: PlatformState) -> None:
        self._state = state

    def post(self) -> None:
        content = self.read_json()
        if "lag_ms" in content:
            self._state.board.set_lag(content["lag_ms"] / 1000)
        try:
            self._state.board.change(
                content.get("set", []),
                content.get("states", {}),
                content.get("remove", []),
            )
        except (KeyError, TypeError) as error:
            raise web.HTTPError(400) from error
        self.write_json({})


class _CountsHandler(serving.JsonHandler):
    def initialize(self, state: PlatformState) -> None:
        self._state = state

    def get(self) -> None:
        self.write_json(attrs.asdict(self._state.counts))


def _show_row(key: str, row: tables.StoredRow) -> dict[str, typing.Any]:
    return {"key": key, "version": row.version, "value": row.value}


def build_server(state: PlatformState) -> httpserver.HTTPServer:
    """Returns the server of the stand-in, not yet listening."""
    settings = {"state": state}
    application = web.Application(
        [
            (r"/v1/tables/([^/]+)/rows/([^/]+)", _RowHandler, settings),
            (r"/v1/tables/([^/]+)/rows", _ScanHandler, settings),
            (r"/v1/transactions", _TransactionHandler, settings),
            (r"/v1/objects/([^/]+)", _ObjectHandler, settings),
            (r"/v1/instances", _InstancesHandler, settings),
            (r"/admin/faults", _FaultsHandler, settings),
            (r"/admin/instances", _BoardHandler, settings),
            (r"/admin/counts", _CountsHandler, settings),
        ],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(application)


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    serving.add_common_options(parser)
    parser.add_argument("--lag-ms", type=int, default=0)
    parser.add_argument(
        "--instances", default="[]", help="JSON list of the first instances"
    )
    options = parser.parse_args()
    state = PlatformState(options.lag_ms)
    instances = json.loads(options.instances)
    if instances:
        state.board.change(instances, {}, [])

    async def run() -> None:
        await serving.serve_until_signal(build_server(state), options)

    asyncio.run(run())


if __name__ == "__main__":
    main()
