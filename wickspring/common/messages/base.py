"""The base class of all messages, and the decoder of one direction."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Annotated, Generic, TypeAlias, TypeVar

import msgspec

WireMessage: TypeAlias = Sequence[object]  # a message as msgpack unpacks it: its name, then its fields

_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"

# An IPv4 address in dotted form; the same texts are taken as by `settings_file.parse_ip`.
IpAddress = Annotated[str, msgspec.Meta(pattern=rf"\A{_OCTET}(?:\.{_OCTET}){{3}}\Z")]

_encoder = msgspec.msgpack.Encoder()


def encode_wire_message(wire_message: WireMessage) -> bytes:
    """Return the bytes of a message that is not written as its class says."""
    return _encoder.encode(wire_message)


class Message(msgspec.Struct, array_like=True, frozen=True):
    """A message; a subclass names it on the wire by `tag`, and its fields follow in order."""

    def encode(self) -> bytes:
        """Return the bytes for the wire."""
        return _encoder.encode(self)

    @property
    def wire_name(self) -> str:
        """Return the name of this kind of message on the wire."""
        return str(self.__struct_config__.tag)


MessageT = TypeVar("MessageT", bound=Message)


class MessageDecoder(Generic[MessageT]):
    """Turns unpacked arrays into the messages of one direction."""

    def __init__(self, message_types: Iterable[type[MessageT]]) -> None:
        self._types_by_name: dict[object, type[MessageT]] = {}
        for message_type in message_types:
            name = str(message_type.__struct_config__.tag)
            if name in self._types_by_name:
                raise ValueError(f"two types of messages named {name!r} in one direction")
            self._types_by_name[name] = message_type

    @property
    def message_types(self) -> dict[str, type[MessageT]]:
        """Return the classes of this direction by their names on the wire."""
        return {str(name): message_type for name, message_type in self._types_by_name.items()}

    def decode(self, wire_message: WireMessage) -> MessageT | None:
        """Return the message, or None where its name is not known in this direction.

        Raises:
            msgspec.ValidationError: its fields are not those of its class.
            IndexError: the array is empty.
            TypeError: the name cannot be one.
        """
        message_type = self._types_by_name.get(wire_message[0])
        return None if message_type is None else msgspec.convert(wire_message, message_type)
