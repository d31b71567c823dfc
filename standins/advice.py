"""Stand-in for the platform's placement policy service."""

import asyncio

from standins import network

_DECISION_TIME_S = 0.05
_VALIDITY_MS = 3000


class AdviceStandIn:
    """Allows the runners that have a ticket.

    Attributes:
        steps: Steps of the requests, in the order of arrival.
    """

    def __init__(self, tickets: dict[str, str]) -> None:
        self.steps: list[str] = []
        self._tickets = tickets

    async def handle(self, request: network.Request) -> network.Response:
        """Answers one request with the allowed runners and their tickets."""
        self.steps.append(request.body["step"])
        await asyncio.sleep(_DECISION_TIME_S)
        allowed = [
            [runner, ticket]
            for runner, ticket in self._tickets.items()
            if runner in request.body["workers"]
        ]
        return network.Response(
            200, {"allowed": allowed, "validity_ms": _VALIDITY_MS}
        )
