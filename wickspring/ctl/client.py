"""Calls to the lighthouses, as an operator makes them: of several addresses one after another."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass
from typing import Any

TIMEOUT_S = 2.0
ROUNDS = 3


@dataclass(slots=True)
class Response:
    """What a lighthouse has said."""

    at: str
    status: int
    body: bytes

    @property
    def tree(self) -> Any:
        """Read the body as JSON."""
        return json.loads(self.body or b"{}")


class NoControlPlaneError(Exception):
    """No lighthouse has given a clear answer; the message says what each did."""


def call(addresses: str, method: str, path: str, body: bytes | None = None) -> Response:
    """Call one after another of `HOST:PORT,HOST:PORT` until one answers with no 5xx."""
    said = []
    for _ in range(ROUNDS):
        for address in addresses.split(","):
            try:
                connection = http.client.HTTPConnection(address.strip(), timeout=TIMEOUT_S)
                headers = {"Content-Type": "application/json"} if body is not None else {}
                connection.request(method, path, body, headers)
                response = connection.getresponse()
                answered = Response(address, response.status, response.read())
                connection.close()
            except (OSError, http.client.HTTPException) as error:
                said.append(f"{address}: {error or type(error).__name__}")
                continue
            if answered.status < 500:
                return answered
            said.append(f"{address}: {answered.status} {answered.body.decode('utf-8', 'replace')[:200]}")
    raise NoControlPlaneError("; ".join(dict.fromkeys(said)))
