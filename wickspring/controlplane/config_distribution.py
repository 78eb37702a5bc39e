"""Sends the committed configuration to data planes, with how far it may be relied on (`ConfigStatus`)."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from wickspring.common import logs
from wickspring.common.config_status import ConfigStatus, QuorumContact
from wickspring.common.config_version import ConfigVersion, is_newer
from wickspring.common.messages import ConfigOffer
from wickspring.common.routing_table import RoutingTable, build_routing_table
from wickspring.controlplane.data_plane_sessions import PeerSession, SentOffer
from wickspring.controlplane.replication.replica import Config

COMPRESSION_LEVEL = 6


@dataclass(slots=True, frozen=True)
class PackedConfig:
    """A configuration as data planes receive it: compressed, with the digest of its text."""

    version: ConfigVersion = None
    digest: bytes = b""
    packed: bytes = b""

    @classmethod
    def from_config(cls, config: Config) -> PackedConfig:
        """Compress a configuration."""
        return cls(config.version, config.digest, zlib.compress(config.document, COMPRESSION_LEVEL))

    def is_copy_of(self, config: Config) -> bool:
        """Return whether this is the same version and text."""
        return self.version == config.version and self.digest == config.digest


class ConfigDistributor:
    """Keeps the committed configuration as data planes receive it, and sends it where it is missing."""

    def __init__(self) -> None:
        self.routing_table = RoutingTable()
        self.committed = PackedConfig()
        self._stored = PackedConfig()  # from the disk: it may never have been committed

    def publish(self, config: Config) -> bool:
        """Take over a committed configuration; True where it is newer than the one before."""
        known_version = self.routing_table.version
        if is_newer(known_version, config.version) or self._is_published(config):
            return False
        if config.version == known_version:
            logs.log_event("config_digest_mismatch", version=known_version, digest=config.digest.hex())
        try:
            routing_table = build_routing_table(config.document)
        except (KeyError, TypeError, ValueError) as error:
            logs.log_event("config_unusable", version=config.version, reason=repr(error))
            return False
        self.routing_table = routing_table
        self.committed = PackedConfig.from_config(config)
        logs.log_event("config_adopted", version=config.version)
        return True

    def _is_published(self, config: Config) -> bool:
        return config.version == self.routing_table.version and config.digest == self.committed.digest

    def offer(self, session: PeerSession, contact: QuorumContact, stored: Config | None) -> None:
        """Send the configuration to a data plane that has reported an older one or none.

        Args:
            session: the session of the data plane.
            contact: the present contact of this node with a quorum.
            stored: the configuration on this node's disk, which may never have been committed. It goes only
                to a data plane that has none, while no committed one is known here; None to withhold it.
        """
        reported = session.reported_config
        if self.committed.version is not None:
            config = self.committed
            status = ConfigStatus.COMMITTED if contact is QuorumContact.NONE else ConfigStatus.CURRENT
        elif reported.version is not None or stored is None:
            return
        else:
            config = self._packed_from_disk(stored)
            status = ConfigStatus.STORED
        if config.version is None:
            return
        differs = config.version == reported.version and config.digest != reported.digest
        needed = is_newer(config.version, reported.version) or (differs and status is ConfigStatus.CURRENT)
        # The data plane may wait with what it was sent: the same offer goes out once on a connection.
        offer = SentOffer(config.version, config.digest, status, reported)
        if needed and session.last_offer != offer:
            session.last_offer = offer
            session.send(ConfigOffer(config.version, config.packed, config.digest, status))

    def _packed_from_disk(self, stored: Config) -> PackedConfig:
        if not self._stored.is_copy_of(stored):
            self._stored = PackedConfig.from_config(stored)
        return self._stored
