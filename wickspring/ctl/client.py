"""HTTP calls to control planes: each address is tried in turn until one gives a clear answer."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec

TIMEOUT_S = 2.0  # of one call
ROUNDS = 3  # how often all addresses are tried
MAX_ERROR_CHARACTERS = 200  # of an answer quoted in an error

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Response:
    """The answer of one control plane."""

    at: str  # HOST:PORT
    status: int
    body: bytes

    @property
    def is_ok(self) -> bool:
        """Whether the status is 200."""
        return self.status == HTTPStatus.OK

    def json(self) -> Any:
        """Return the body as plain JSON data, with fields that this program does not know."""
        return json.loads(self.body or b"{}")

    def decode(self, kind: type[T]) -> T:
        """Return the body as a typed value; msgspec.DecodeError where it is none."""
        return msgspec.json.decode(self.body or b"{}", type=kind)


class NoControlPlaneError(Exception):
    """No control plane gave a clear answer; the message lists what happened at each address."""


class RefusedError(Exception):
    """A control plane refused a call: it answered with another status than 200."""

    def __init__(self, response: Response) -> None:
        super().__init__(f"{response.at}: {response.status} {response.body.decode()}")
        self.response = response


def call(addresses: str, method: str, path: str, body: bytes | None = None) -> Response:
    """Call the addresses of `HOST:PORT,HOST:PORT` in turn and return the first answer below 500.

    Raises NoControlPlaneError after `ROUNDS` rounds without one.
    """
    failures: list[str] = []
    for _ in range(ROUNDS):
        for address in addresses.split(","):
            try:
                response = _call_one(address, method, path, body)
            except (OSError, http.client.HTTPException) as error:
                failures.append(f"{address}: {error or type(error).__name__}")
                continue
            if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                return response
            text = response.body.decode("utf-8", "replace")[:MAX_ERROR_CHARACTERS]
            failures.append(f"{address}: {response.status} {text}")
    raise NoControlPlaneError("; ".join(dict.fromkeys(failures)))


def call_ok(addresses: str, method: str, path: str, body: bytes | None = None) -> Response:
    """Call as `call` does; RefusedError where the answer is another than 200."""
    response = call(addresses, method, path, body)
    if not response.is_ok:
        raise RefusedError(response)
    return response


def _call_one(address: str, method: str, path: str, body: bytes | None) -> Response:
    connection = http.client.HTTPConnection(address.strip(), timeout=TIMEOUT_S)
    try:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return Response(address, response.status, response.read())
    finally:
        connection.close()
