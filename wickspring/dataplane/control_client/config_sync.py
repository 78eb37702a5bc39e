"""The configuration of a data plane: offers of control and data planes, its adoption, the routing table."""

from __future__ import annotations

import zlib

import msgspec

from wickspring.common import logs
from wickspring.common.config_status import ConfigStatus
from wickspring.common.config_version import ConfigVersion
from wickspring.common.digest import digest_of
from wickspring.common.messages import ConfigOffer
from wickspring.common.routing_table import RoutingTable, build_routing_table
from wickspring.dataplane.control_client.connections import ConfigIdentity
from wickspring.dataplane.control_client.listener import ControlListener
from wickspring.dataplane.policy.config_adoption import AdoptionAction, ConfigAdoption, ConfigCopy
from wickspring.net.clock import Clock

# What reading a document may raise that was not written by this system, or is damaged.
_DOCUMENT_ERRORS = (zlib.error, msgspec.DecodeError, KeyError, TypeError, ValueError)


class ConfigSync:
    """Keeps the configuration up to date."""

    def __init__(self, clock: Clock, listener: ControlListener) -> None:
        self.compressed_document = b""  # the compressed document of the adopted configuration
        self.routing_table = RoutingTable()
        self.adoption = ConfigAdoption(clock.now())
        self._clock = clock
        self._listener = listener

    @property
    def identity(self) -> ConfigIdentity:
        """The version and digest of the adopted configuration."""
        return ConfigIdentity(self.routing_table.version, self.adoption.digest)

    def offer(self, offer: ConfigOffer, by_control_plane: bool) -> None:
        """Adopt a copy that is offered, if the rules allow it."""
        copy = ConfigCopy(offer.version, offer.digest, offer.compressed_document, offer.status)
        action = self.adoption.offer(self._clock.now(), copy, by_control_plane)
        if action in (AdoptionAction.IGNORE, AdoptionAction.WAIT):
            return
        if action is AdoptionAction.REPLACE_UNCOMMITTED:
            logs.log_event("config_superseded", version=copy.version)
        elif action is AdoptionAction.FENCE:
            logs.log_event("config_digest_mismatch", version=copy.version, digest=copy.digest.hex())
        self._adopt(copy)

    def confirm(self, version: ConfigVersion, digest: bytes) -> None:
        """Take note of what a node in contact with a quorum reports as committed."""
        copy = self.adoption.confirm(self._clock.now(), version, digest)
        if copy is not None:
            self._adopt(copy)

    def adopt_fallback(self) -> None:
        """Adopt the last known configuration where no node in contact has reported any for a while."""
        copy = self.adoption.fallback(self._clock.now())
        if copy is not None:
            self._adopt(copy)

    def _adopt(self, copy: ConfigCopy) -> None:
        try:
            self.routing_table = _read(copy)
        except _DOCUMENT_ERRORS as error:
            logs.log_event("config_unusable", version=copy.version, reason=repr(error))
            self.adoption.discard(copy)
            return
        self.compressed_document = copy.compressed_document
        self.adoption.adopted(copy)
        logs.log_event("config_adopted", version=copy.version, status=copy.status.label)
        self._listener.on_routing_table(self.routing_table)
        self._listener.on_state_received()

    def status(self, in_contact: bool) -> ConfigStatus:
        """Return what this data plane may say of its configuration to others."""
        status = self.adoption.status
        return ConfigStatus.CURRENT if status is ConfigStatus.COMMITTED and in_contact else status


def _read(copy: ConfigCopy) -> RoutingTable:
    """Return the routing table of a document; raise one of `_DOCUMENT_ERRORS` where it is damaged."""
    document = zlib.decompress(copy.compressed_document)
    if digest_of(document) != copy.digest:
        raise ValueError("not the text of its digest")
    return build_routing_table(document)
