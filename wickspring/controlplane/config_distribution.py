"""Which configuration a lighthouse hands to pilots, and how far it may be relied on (`harbour.standing`)."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

from wickspring.common import logs
from wickspring.common.config_status import ConfigStatus, QuorumContact
from wickspring.common.connection import PeerConnection
from wickspring.common.routing_table import RoutingTable, build_routing_table
from wickspring.controlplane.replication.replica import Config


@dataclass(slots=True, frozen=True)
class _PackedConfig:
    """A configuration as pilots get it: packed, with the digest of its text."""

    version: int = 0
    digest: bytes = b""
    packed: bytes = b""

    @staticmethod
    def of(config: Config) -> _PackedConfig:
        """Pack a configuration."""
        return _PackedConfig(config.version, config.digest, zlib.compress(config.document, 6))


class ConfigDistributor:
    """What is safe, as pilots get it, and what each of them was handed."""

    def __init__(self) -> None:
        self.routing_table = RoutingTable()
        self.copy = _PackedConfig()
        self._last_known = _PackedConfig()

    def safe(self, config: Config) -> bool:
        """Take in what has become safe; True where that is news."""
        known = self.routing_table.version
        if config.version < known or (config.version == known and config.digest == self.copy.digest):
            return False
        if config.version == known:
            logs.log_event("config_two_texts", version=known, digest=config.digest.hex())
        try:
            self.routing_table, self.copy = build_routing_table(config.document), _PackedConfig.of(config)
        except (KeyError, TypeError, ValueError) as error:
            logs.log_event("chart_unusable", version=config.version, reason=repr(error))
            return False
        logs.log_event("chart", version=config.version)
        return True

    def holds(self, connection: PeerConnection, version: Any, digest: Any) -> None:
        """Hear which configuration a pilot goes by."""
        connection.about["holds"] = int(version), bytes(digest)

    def offer(self, connection: PeerConnection, contact: QuorumContact, last_known: Config | None) -> None:
        """Hand a pilot the configuration, where it has said that it has an older one or none.

        The last known, which may never have become safe, goes only to one that has none.
        """
        version, digest = connection.about.get("holds", (0, b""))
        copy, standing = (
            self.copy,
            ConfigStatus.SAFE if contact is QuorumContact.NONE else ConfigStatus.CURRENT,
        )
        if not copy.version:
            if version or last_known is None:
                return
            if (self._last_known.version, self._last_known.digest) != (last_known.version, last_known.digest):
                self._last_known = _PackedConfig.of(last_known)
            copy, standing = self._last_known, ConfigStatus.HELD
        other = copy.version == version and copy.digest != digest and standing is ConfigStatus.CURRENT
        offer = copy.version, copy.digest, standing, version, digest  # it may wait with what it was handed
        if (copy.version > version or other) and connection.about.get("offered") != offer:
            connection.about["offered"] = offer
            connection.send("chart", copy.version, copy.packed, copy.digest, int(standing))
