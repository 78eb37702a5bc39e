"""Types of packed values: what messages and files carry, before it is checked.

A class with `pack` returns its fields as values of these types. Its `unpack` takes any object and checks it
with `convert_packed`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TypeAlias, TypeVar

import msgspec

PackedValue: TypeAlias = (
    "bool | int | float | str | bytes | Sequence[PackedValue] | Mapping[str, PackedValue] | None"
)
PackedFields: TypeAlias = list[PackedValue]
PackedState: TypeAlias = dict[str, PackedValue]  # what a node must store, by the name of each part

FieldsT = TypeVar("FieldsT")


def convert_packed(packed: object, fields_type: type[FieldsT]) -> FieldsT:
    """Check that a packed value has the fields of a type, and return it as that type.

    Raises:
        ValueError (`msgspec.ValidationError`): a field is missing or has another type.
    """
    return msgspec.convert(packed, fields_type, builtin_types=(bytes,))  # bytes: never text in base 64
