"""The callers' HTTP application."""

from collections.abc import Callable

from tornado import httpserver
from tornado import web

from tamarackhatch.api import _caller_context
from tamarackhatch.api import _caller_handler
from tamarackhatch.api import _caller_jobs
from tamarackhatch.api import _caller_limits
from tamarackhatch.api import _caller_services
from tamarackhatch import clock as clock_module
from tamarackhatch import declarations
from tamarackhatch import errors

# tornado closes the connection without an answer beyond its own limit, so it
# is well above ours.
_HEADER_SLACK = 4


class HealthHandler(_caller_handler.CallerHandler):
    """Tells the load balancer whether to send callers here."""

    async def get(self) -> None:
        """Answers 200, or 503 when this instance is leaving."""
        if not self.start_work():
            return
        is_leaving = self._context.is_leaving()
        self.set_status(503 if is_leaving else 200)
        self.write({"state": "leaving" if is_leaving else "live"})

    def _admit(self) -> None:
        """Admits all: a busy instance is not an unhealthy one."""


class UnknownPathHandler(_caller_handler.CallerHandler):
    """Refuses paths that do not exist."""

    def _check_length(self) -> None:
        # The path matters more than what the body may be.
        self.refuse(404, errors.ErrorCode.BAD_REQUEST, "there is no such path")

    async def handle(self) -> None:
        """Ends the refused request once its body was read."""
        self.start_work()

    get = handle
    head = handle
    post = handle
    put = handle
    patch = handle
    delete = handle
    options = handle


def build_caller_application(
    clock: clock_module.Clock,
    configuration: declarations.ConfigurationView,
    router: _caller_context.ServiceRouter,
    jobs: _caller_context.JobService,
    is_leaving: Callable[[], bool],
    limits: _caller_limits.CallerLimits = _caller_limits.CallerLimits(),
) -> web.Application:
    """Returns the application; serve it with ``build_caller_server``.

    Args:
        clock: Source of time.
        configuration: Policies in force.
        router: Routes requests to services.
        jobs: Accepts batch jobs.
        is_leaving: Tells whether this instance is about to stop.
        limits: Limits of this entry instance.
    """
    context = _caller_context.CallerContext(
        clock, configuration, router, jobs, is_leaving, limits
    )
    arguments = {"context": context}
    return web.Application(
        [
            (
                _caller_services.SERVICE_PATTERN,
                _caller_services.ServiceHandler,
                arguments,
            ),
            (r"/v1/jobs", _caller_jobs.JobsHandler, arguments),
            (_caller_jobs.JOB_PATTERN, _caller_jobs.JobHandler, arguments),
            (r"/v1/health", HealthHandler, arguments),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=arguments,
        log_function=_log_nothing,
    )


def build_caller_server(
    application: web.Application,
    limits: _caller_limits.CallerLimits = _caller_limits.CallerLimits(),
) -> httpserver.HTTPServer:
    """Returns an HTTP server with the limits that tornado enforces."""
    return httpserver.HTTPServer(
        application,
        max_header_size=_HEADER_SLACK * limits.max_header,
        body_timeout=limits.body_timeout.total_seconds(),
    )


def _log_nothing(_handler: web.RequestHandler) -> None:
    """The router logs each decision; an access log would say it again."""
