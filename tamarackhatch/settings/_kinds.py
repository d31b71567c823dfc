"""Kinds of values that only settings have."""

import ipaddress
import typing
import urllib.parse

import attrs

from tamarackhatch import documents
from tamarackhatch import errors
from tamarackhatch.settings import _secret

# A shorter shared key or token can be found by trying.
_MIN_SECRET_LENGTH = 16
_MAX_SECRET_LENGTH = 1024
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
        """Whether it stands for all addresses of the machine."""
        return ipaddress.ip_address(self.host).is_unspecified


@attrs.frozen
class AddressKind:
    """``host:port`` with an IP address as host.

    Names are refused, because a lookup could block an entry instance that
    is cut off from the name servers.
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
            is_port = port.isascii() and port.isdigit() and len(port) <= 5
            if is_port and self.minimum_port <= int(port) <= _MAX_PORT:
                return Address(host, int(port))
        except ValueError:
            pass
        collector.add_finding(
            node.place,
            errors.ErrorCode.OUT_OF_RANGE,
            f"{path} must be an IP address and port such as "
            f"127.0.0.1:8080 or [::1]:8080, with a port from "
            f"{self.minimum_port} to {_MAX_PORT}",
        )
        return None

    def write(self, value: Address) -> str:
        return str(value)


@attrs.frozen
class UrlKind:
    """``http`` or ``https`` address of a platform service."""

    def read(
        self,
        node: documents.Node,
        path: str,
        collector: documents.Collector,
    ) -> str | None:
        text = documents.Text().read(node, path, collector)
        if text is None:
            return None
        try:
            parts = urllib.parse.urlsplit(text)
            is_good = (
                parts.scheme in ("http", "https")
                and bool(parts.hostname)
                and parts.port != 0
                and parts.username is None
                and not parts.query
                and not parts.fragment
                and text.isprintable()
                and " " not in text
            )
        except ValueError:
            is_good = False
        if is_good:
            return text.rstrip("/")
        collector.add_finding(
            node.place,
            errors.ErrorCode.OUT_OF_RANGE,
            f"{path} must be an address such as http://10.0.0.1:9000, "
            "without user, query or fragment",
        )
        return None

    def write(self, value: str) -> str:
        return value


@attrs.frozen
class SecretKind:
    """A secret; no finding quotes it."""

    def read(
        self,
        node: documents.Node,
        path: str,
        collector: documents.Collector,
    ) -> _secret.Secret | None:
        text = documents.Text(
            pattern=f"[!-~]{{{_MIN_SECRET_LENGTH},}}",
            rule=(
                f"at least {_MIN_SECRET_LENGTH} printable ASCII characters "
                "without spaces"
            ),
            maximum=_MAX_SECRET_LENGTH,
        ).read(node, path, collector)
        return None if text is None else _secret.Secret(text)

    def write(self, value: _secret.Secret) -> typing.NoReturn:
        raise TypeError("a secret is not written")
