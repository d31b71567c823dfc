"""Commands of the program and their exit codes."""

from collections.abc import Iterator
import contextlib
import sys
import typing

import attrs
import cappa

import tamarackhatch
from tamarackhatch import errors

_EXIT_FINDINGS = 2
_EXIT_FAILED = 1

Settings = typing.Annotated[
    str, cappa.Arg(long=True, help="Path of the settings file.")
]


@cappa.command(name="serve", help="Runs an instance until SIGTERM.")
@attrs.frozen
class Serve:
    """Runs an instance until SIGTERM.

    Attributes:
        settings: Path of the settings file.
    """

    settings: Settings

    def __call__(self) -> None:
        from tamarackhatch import server

        with _report_findings():
            server.serve(self.settings)


@cappa.command(
    name="check",
    help="Checks settings files and declarations; exits with 2 on findings.",
)
@attrs.frozen
class Check:
    """Checks files and reports every finding with its location.

    Attributes:
        files: Settings files, and directories of declarations.
    """

    files: typing.Annotated[
        list[str],
        cappa.Arg(help="Settings files and directories of declarations."),
    ]

    def __call__(self) -> None:
        from tamarackhatch.cli import _check

        findings = _check.check_files(self.files)
        for finding in findings:
            print(finding)
        if findings:
            raise cappa.Exit(code=_EXIT_FINDINGS)


@cappa.command(name="status", help="Shows the state of jobs from the store.")
@attrs.frozen
class Status:
    """Shows the state of jobs.

    Attributes:
        settings: Path of a settings file, which has the address of the store.
        jobs: Identifiers of the jobs.
    """

    settings: Settings
    jobs: typing.Annotated[list[str], cappa.Arg(help="Identifiers of jobs.")]

    def __call__(self) -> None:
        from tamarackhatch.cli import _status

        with _report_findings():
            lines = _status.read_states(self.settings, self.jobs)
        for line in lines:
            print(f"{line.job} {line.text}")
        if not all(line.is_known for line in lines):
            raise cappa.Exit(code=_EXIT_FAILED)


@cappa.command(
    name="explain", help="Shows what the logs say about a job, task or runner."
)
@attrs.frozen
class Explain:
    """Shows the log events of a job, a task or a runner.

    Attributes:
        subject: Job, task (as JOB.OCCURRENCE.STEP.INDEX) or runner.
        logs: Log files of any instances; standard input if there are none.
    """

    subject: typing.Annotated[
        str, cappa.Arg(help="Job, task or runner to explain.")
    ]
    logs: typing.Annotated[list[str], cappa.Arg(help="Log files.")] = (
        attrs.field(factory=list)
    )

    def __call__(self) -> None:
        from tamarackhatch.cli import _explain

        with _report_findings():
            lines = _explain.explain(self.subject, self.logs)
        for line in lines:
            print(line)
        if not lines:
            print(f"no log events found for {self.subject}", file=sys.stderr)
            raise cappa.Exit(code=_EXIT_FAILED)


@cappa.command(
    name="where",
    help="Explains where a job would be placed now, without submitting it.",
)
@attrs.frozen
class Where:
    """Explains where a job would be placed now, and why (a dry run).

    Attributes:
        settings: Path of the settings file of any instance.
        job: Job file; None for a job of one step by the options.
        queue: Queue of that job.
        tasks: Number of its tasks.
        processors: Processor time of each task, in thousandths of a core.
        memory_mb: Memory of each task, in megabytes.
        preferred_rack: Rack that holds the data of the tasks.
        output: ``text`` or ``json``.
    """

    settings: Settings
    job: typing.Annotated[
        str | None,
        cappa.Arg(help="Job file, in the format of PUT /v1/jobs/ID."),
    ] = None
    queue: typing.Annotated[
        str | None, cappa.Arg(long=True, help="Queue of a job without a file.")
    ] = None
    tasks: typing.Annotated[
        int | None, cappa.Arg(long=True, help="Number of tasks.")
    ] = None
    processors: typing.Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help="Processor time of a task, in thousandths of a core.",
        ),
    ] = None
    memory_mb: typing.Annotated[
        int | None,
        cappa.Arg(long=True, help="Memory of a task, in megabytes."),
    ] = None
    preferred_rack: typing.Annotated[
        str | None, cappa.Arg(long=True, help="Rack that holds the data.")
    ] = None
    output: typing.Annotated[
        typing.Literal["text", "json"],
        cappa.Arg(long=True, help="Form of the output."),
    ] = "text"

    def __call__(self) -> None:
        from tamarackhatch.cli import _where

        options = _where.JobOptions(
            self.queue,
            self.tasks,
            self.processors,
            self.memory_mb,
            self.preferred_rack,
        )
        try:
            with _report_findings():
                source = _where.read_job(self.job, options)
                document = _where.ask(self.settings, source)
        except _where.UsageError as error:
            print(error, file=sys.stderr)
            raise cappa.Exit(code=_EXIT_FINDINGS) from error
        except _where.NoAnswerError as error:
            print(error, file=sys.stderr)
            raise cappa.Exit(code=_EXIT_FAILED) from error
        print(_where.format_output(document, self.output == "json"), end="")


@cappa.command(name="version", help="Prints the version.")
@attrs.frozen
class Version:
    """Prints the version of the program."""

    def __call__(self) -> None:
        print(tamarackhatch.__version__)


@cappa.command(name="tamarackhatch")
@attrs.frozen
class Tamarackhatch:
    """Scheduler for latency-critical services and batch work."""

    command: cappa.Subcommands[
        Serve | Check | Status | Explain | Where | Version
    ]


@contextlib.contextmanager
def _report_findings() -> Iterator[None]:
    """Prints findings to standard error and exits with code 2."""
    try:
        yield
    except errors.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        raise cappa.Exit(code=_EXIT_FINDINGS) from error


def main() -> None:
    """Runs the command given on the command line."""
    cappa.invoke(Tamarackhatch)
