"""Runs ``tamarackhatch``, and suspends itself just before a start command.

The process stops itself, as SIGSTOP from outside would, after the scheduler
has checked its leader lease and before the command is sent. It does so once,
for the first start command after the file given last on the command line has
appeared, and removes the file.
"""

import os
import pathlib
import signal
import sys

from standins import runner
from tamarackhatch import cli
from tamarackhatch import transport


def main() -> None:
    """Runs the command line before the last argument."""
    trigger = pathlib.Path(sys.argv.pop())
    send = transport.HttpClient.send

    async def suspend_and_send(
        client: transport.HttpClient, call: transport.Call
    ) -> transport.Answer:
        if call.path == runner.START_PATH and trigger.exists():
            trigger.unlink()
            os.kill(os.getpid(), signal.SIGSTOP)
        return await send(client, call)

    setattr(transport.HttpClient, "send", suspend_and_send)
    cli.main()


if __name__ == "__main__":
    main()
