"""What the client of the control plane asks of the data plane, and reports to it."""

from __future__ import annotations

from typing import Protocol

from wickspring.common.messages import EndpointRecord
from wickspring.common.routing_table import RoutingTable
from wickspring.dataplane.policy.quota import TenantReport


class ControlListener(Protocol):
    """The data plane, as the client of the control plane sees it."""

    def usage_reports(self) -> list[TenantReport]:
        """Return the recent usage of all tenants at this data plane."""

    def on_routing_table(self, routing_table: RoutingTable) -> None:
        """Use a configuration that has just been adopted."""

    def on_new_endpoints(self, endpoints: list[EndpointRecord]) -> None:
        """Pass endpoints on to other data planes that are new or have changed."""

    def on_new_departures(self, states: dict[str, int]) -> None:
        """Pass departures of endpoints on to other data planes."""

    def on_data_planes(self, ips: list[str]) -> None:
        """Contact other data planes that the control plane has named."""

    def on_state_received(self) -> None:
        """Take note that a configuration or a complete list of endpoints has come."""
