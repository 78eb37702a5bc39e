"""Mutual TLS: contexts made from files, and made again when the files change."""

from __future__ import annotations

import ssl
from pathlib import Path

from wickspring.settings.errors import ConfigError


class Certificates:
    """One party's certificate and key, and the authority that it trusts.

    Files are checked before each use, so that renewed ones are used from the next connection on. Where they
    cannot be read, those read before stay in use, and `fault` says why.

    Raises:
        ConfigError: the files cannot be read at first.
    """

    def __init__(self, ca: Path, cert: Path, key: Path) -> None:
        self.ca, self.cert, self.key = ca, cert, key
        self.fault = ""
        self._modified_at: tuple[int, ...] = ()
        self._server: ssl.SSLContext | None = None
        self._client: ssl.SSLContext | None = None
        self._refresh()
        if self._server is None:
            raise ConfigError(f"tls: {self.fault}")

    def _refresh(self) -> None:
        try:
            modified_at = tuple(path.stat().st_mtime_ns for path in (self.ca, self.cert, self.key))
            if modified_at == self._modified_at:
                return
            server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
            for context in (server, client):
                context.minimum_version = ssl.TLSVersion.TLSv1_3
                context.load_verify_locations(self.ca)
                context.load_cert_chain(self.cert, self.key)
                context.verify_mode = ssl.CERT_REQUIRED
        except (OSError, ssl.SSLError) as error:
            self.fault = f"{self.cert.name}: {error}"
            return
        self._modified_at, self._server, self._client, self.fault = modified_at, server, client, ""

    def server(self) -> ssl.SSLContext:
        """Return the context for connections that come in."""
        self._refresh()
        assert self._server is not None
        return self._server

    def client(self) -> ssl.SSLContext:
        """Return the context for connections that go out."""
        self._refresh()
        assert self._client is not None
        return self._client


def dns_names(certificate: dict[str, object] | None) -> tuple[str, ...]:
    """Return the DNS names of a certificate, as `getpeercert` gives it."""
    found = (certificate or {}).get("subjectAltName", ())
    return tuple(value for kind, value in found if kind == "DNS") if isinstance(found, tuple) else ()
