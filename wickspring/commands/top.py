"""The commands of `wickspring` that belong to no group of their own."""

from __future__ import annotations

from wickspring.commands.admin import AdminCommands
from wickspring.commands.local import LocalCommands


class Commands(LocalCommands, AdminCommands):
    """Gateway of a shared ticketing service.

    Groups of further commands, each with its own `--help`: `fleet` (many instances under many agents),
    `peers` (the communication between ingresses) and `lab` (emulated sites, load, reports).
    """
