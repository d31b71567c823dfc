"""Kinds of values that occur only in settings."""

import ipaddress

import attrs

from tamarackhatch import documents
from tamarackhatch import errors

_MAX_PORT = 65535


@attrs.frozen
class Address:
    """An IP address with a port.

    Attributes:
        host: IPv4 or IPv6 address, without brackets.
        port: TCP or UDP port; 0 lets the system choose one.
    """

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @property
    def is_wildcard(self) -> bool:
        """Whether the host stands for all addresses of the machine."""
        return ipaddress.ip_address(self.host).is_unspecified


@attrs.frozen
class AddressKind:
    """``host:port`` with an IP address as host.

    Host names are refused, because a lookup could block an entry instance
    that cannot reach the name servers.

    Attributes:
        minimum_port: Lowest port that is accepted.
    """

    minimum_port: int = 0

    def read(
        self,
        node: documents.Node,
        path: str,
        collector: documents.Collector,
    ) -> Address | None:
        text = documents.Text().read(node, path, collector)
        if text is None:
            return None
        host, _, port = text.rpartition(":")
        try:
            if host.startswith("[") and host.endswith("]"):
                host = str(ipaddress.IPv6Address(host[1:-1]))
            else:
                host = str(ipaddress.IPv4Address(host))
            is_decimal = port.isascii() and port.isdigit() and len(port) <= 5
            if is_decimal and self.minimum_port <= int(port) <= _MAX_PORT:
                return Address(host, int(port))
        except ValueError:
            pass
        collector.add_finding(
            node.location,
            errors.ErrorCode.OUT_OF_RANGE,
            f"{path} must be an IP address and port such as "
            f"127.0.0.1:8080 or [::1]:8080, with a port from "
            f"{self.minimum_port} to {_MAX_PORT}",
        )
        return None

    def write(self, value: Address) -> str:
        return str(value)
