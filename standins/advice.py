"""Stand-in for the platform's placement policy service."""

import asyncio

from standins import network

_DECISION_S = 0.05
_VALIDITY_MS = 3000


class AdviceStandIn:
    """Allows some runners, each with its ticket.

    Attributes:
        steps: Steps that it was asked about, in order.
    """

    def __init__(self, tickets: dict[str, str]) -> None:
        self.steps: list[str] = []
        self._tickets = tickets

    async def handle(self, request: network.Request) -> network.Response:
        """Answers one question."""
        self.steps.append(request.body["step"])
        await asyncio.sleep(_DECISION_S)
        allowed = [
            [runner, ticket]
            for runner, ticket in self._tickets.items()
            if runner in request.body["workers"]
        ]
        return network.Response(
            200, {"allowed": allowed, "validity_ms": _VALIDITY_MS}
        )
