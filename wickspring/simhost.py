"""Host many instances of the decision module on standard input and output.

Each instance is a `Policy` of its own; nothing is shared between them.
"""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from wickspring import simwire
from wickspring.policy import Policy


def read_exactly(source: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, fewer only at the end of the input."""
    parts = []
    while size:
        part = source.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def answer(policies: dict[int, Policy], frame: bytes) -> bytes:
    """Pass one batch to the instances and collect their actions."""
    now, events = simwire.decode_batch(frame)
    actions: list[tuple[int, simwire.WireAction]] = []
    for instance, event in events:
        if isinstance(event, simwire.Stop):
            policies.pop(instance, None)
            continue
        try:
            if isinstance(event, simwire.Start):
                policies[instance] = Policy(event.settings)
            elif instance in policies:
                actions += [(instance, action) for action in policies[instance].handle(now, event)]
        except Exception:  # the wire wants any failure of the decision code told as a fault
            text = traceback.format_exc(limit=-3)
            actions.append((instance, simwire.Fault(text)))
    return simwire.encode_reply(actions)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; a malformed frame raises `simwire.WireError`."""
    policies: dict[int, Policy] = {}
    header_size = simwire.BATCH_HEADER.size
    while header := read_exactly(source, header_size):
        if len(header) < header_size:
            raise simwire.WireError("input ends inside a frame header")
        length = simwire.BATCH_HEADER.unpack(header)[1]
        if length < header_size:
            raise simwire.WireError(f"frame length {length} is shorter than the header")
        body = read_exactly(source, length - header_size)
        if len(body) < length - header_size:
            raise simwire.WireError("input ends inside a frame")
        sink.write(answer(policies, header + body))
        sink.flush()


def main() -> int:
    """Run on this process's standard streams."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (simwire.WireError, UnicodeDecodeError) as error:
        print(f"wickspring: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
