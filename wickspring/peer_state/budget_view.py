"""The status of one budget, as operators see it."""

from __future__ import annotations

import msgspec


class BudgetView(msgspec.Struct, frozen=True, rename={"in_use": "busy"}):
    """One budget as held here, in rights."""

    name: str
    rights: int
    part: int
    free: int
    in_use: int
    lent: int
    borrowed: int
