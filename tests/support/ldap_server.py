"""A small LDAP server for the tests (RFC 4511, paged results of RFC 2696), in a thread on loopback."""

from __future__ import annotations

import socketserver
import threading
from types import TracebackType

PAGED = b"1.2.840.113556.1.4.319"
BIND, BOUND, UNBIND, SEARCH, ENTRY, DONE = 0x60, 0x61, 0x42, 0x63, 0x64, 0x65
SUCCESS, INVALID_CREDENTIALS, NO_SUCH_OBJECT = 0, 49, 32

Entry = tuple[str, dict[str, list[str]]]


def tlv(tag: int, *parts: bytes) -> bytes:
    """Write one BER element."""
    body = b"".join(parts)
    if len(body) < 128:
        return bytes((tag, len(body))) + body
    size = len(body).to_bytes(4, "big")
    return bytes((tag, 0x84)) + size + body


def elements(data: bytes) -> list[tuple[int, bytes]]:
    """Read the BER elements that stand in a row."""
    out, at = list[tuple[int, bytes]](), 0
    while at < len(data):
        tag, size, at = data[at], data[at + 1], at + 2
        if size & 0x80:
            count = size & 0x7F
            size, at = int.from_bytes(data[at : at + count], "big"), at + count
        out.append((tag, data[at : at + size]))
        at += size
    return out


class LdapServer:
    """Serves a list of entries to who binds with the right password."""

    def __init__(self, entries: list[Entry], password: str = "") -> None:
        self.entries, self.password = entries, password
        self.code = SUCCESS  # of searches
        self.silent = False
        self.pages: list[int] = []  # how many entries went out in each
        outer = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self) -> None:
                while (message := self.read()) and not outer.silent:
                    number, (tag, body), controls = outer.parse(message)
                    if tag == UNBIND:
                        return
                    for op, extra in outer.answer(tag, body, controls):
                        self.wfile.write(tlv(0x30, tlv(0x02, number), op, extra))

            def read(self) -> bytes:
                head = self.rfile.read(2)
                if len(head) < 2:
                    return b""
                size = head[1]
                if size & 0x80:
                    size = int.from_bytes(self.rfile.read(size & 0x7F), "big")
                return self.rfile.read(size)

        self.tcp = socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler)
        self.tcp.daemon_threads = True
        self.url = f"ldap://127.0.0.1:{self.tcp.server_address[1]}"

    def __enter__(self) -> LdapServer:
        threading.Thread(target=self.tcp.serve_forever, args=(0.02,), daemon=True).start()
        return self

    def __exit__(self, kind: type[BaseException] | None, error: object, trace: TracebackType | None) -> None:
        self.tcp.shutdown()
        self.tcp.server_close()

    @staticmethod
    def parse(message: bytes) -> tuple[bytes, tuple[int, bytes], bytes]:
        (_, number), op, *rest = elements(message)
        return number, op, rest[0][1] if rest else b""

    def answer(self, tag: int, body: bytes, controls: bytes) -> list[tuple[bytes, bytes]]:
        if tag == BIND:
            given = elements(body)[2][1].decode()
            return [(self.result(BOUND, SUCCESS if given == self.password else INVALID_CREDENTIALS), b"")]
        if self.code != SUCCESS:
            return [(self.result(DONE, self.code), b"")]
        size, start = len(self.entries), 0
        for _, control in elements(controls):
            (_, name), *_, (_, value) = elements(control)
            if name == PAGED:
                (_, count), (_, cookie) = elements(elements(value)[0][1])
                size, start = int.from_bytes(count, "big"), int(cookie or b"0")
        page, end = self.entries[start : start + size], start + size
        self.pages.append(len(page))
        cookie = str(end).encode() if end < len(self.entries) else b""
        value = tlv(0x30, tlv(0x02, b"\0"), tlv(0x04, cookie))
        control = tlv(0xA0, tlv(0x30, tlv(0x04, PAGED), tlv(0x04, value)))
        return [(self.entry(entry), b"") for entry in page] + [(self.result(DONE, SUCCESS), control)]

    @staticmethod
    def result(tag: int, code: int) -> bytes:
        return tlv(tag, tlv(0x0A, bytes((code,))), tlv(0x04), tlv(0x04))

    @staticmethod
    def entry(entry: Entry) -> bytes:
        dn, attributes = entry
        lines = [
            tlv(0x30, tlv(0x04, name.encode()), tlv(0x31, *(tlv(0x04, value.encode()) for value in values)))
            for name, values in attributes.items()
        ]
        return tlv(ENTRY, tlv(0x04, dn.encode()), tlv(0x30, *lines))
