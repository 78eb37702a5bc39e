"""The rules by which a data plane adopts a configuration."""

from __future__ import annotations

import zlib
from random import Random

import pytest

from tests.support.virtual_system import (
    CONTROL_PLANES,
    DATA_PLANES,
    VirtualSystem,
    config_text,
    replace_config,
    run_virtual_system,
)
from wickspring.common import logs
from wickspring.common.config_status import ConfigStatus
from wickspring.common.config_version import version_order
from wickspring.common.digest import digest_of
from wickspring.common.messages import ConfigOffer
from wickspring.dataplane.policy import config_adoption
from wickspring.dataplane.policy.config_adoption import AdoptionAction, ConfigAdoption, ConfigCopy


def copy_of(version: int, mark: str, status: ConfigStatus) -> ConfigCopy:
    return ConfigCopy(version, digest_of(config_text(version, mark)), b"", status)


@pytest.mark.parametrize("seed", range(40))
def test_a_data_plane_never_returns_to_an_older_config(seed: int) -> None:
    """Random offers of nodes and data planes in contact and not; of each version one text is committed."""
    random = Random(seed)
    adoption = ConfigAdoption(0.0)
    committed = {version: random.choice("xy") for version in range(40)}
    now = 0.0
    newest = 0
    contact_at = 0.0
    adopted_versions = [version_order(None)]
    for _ in range(400):
        now += random.expovariate(1 / 120.0)
        newest = min(39, newest + (random.random() < 0.06))
        status = random.choice(list(ConfigStatus)) if now > 1000.0 * (seed % 4) else ConfigStatus.STORED
        version = newest if status is ConfigStatus.CURRENT else random.randint(0, newest)
        if status is ConfigStatus.STORED:
            version += random.randint(0, 1)  # stored at a head, not committed
        mark = random.choice("xy") if status is ConfigStatus.STORED else committed.get(version, "x")
        offered = copy_of(version, mark, status)
        previous = adoption.version, adoption.status
        action = adoption.offer(now, offered, random.random() < 0.5)
        contact_at = now if status is ConfigStatus.CURRENT else contact_at
        fallback = adoption.fallback(now)
        assert action is not AdoptionAction.FENCE  # one committed text a version: never fenced
        if action in (AdoptionAction.ADOPT, AdoptionAction.REPLACE_UNCOMMITTED):
            assert status >= ConfigStatus.COMMITTED
            assert previous[0] is not None or status is ConfigStatus.CURRENT
            assert action is AdoptionAction.ADOPT or previous == (version, ConfigStatus.STORED)
            adoption.adopted(offered)
        elif fallback is not None:
            assert previous[0] is None and now - contact_at >= config_adoption.FALLBACK_AFTER_MS
            adoption.adopted(fallback)
        adopted_versions.append(version_order(adoption.version))
        if adoption.status is ConfigStatus.COMMITTED:
            assert adoption.version is not None
            assert adoption.digest == digest_of(config_text(adoption.version, committed[adoption.version]))
    assert adopted_versions == sorted(adopted_versions)
    adoption.offer(now, copy_of(newest, committed[newest], ConfigStatus.CURRENT))
    assert version_order(adoption.version) <= newest or adoption.status is ConfigStatus.STORED


def test_a_conflicting_text_from_a_node_in_contact_is_adopted_and_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    events: list[str] = []
    monkeypatch.setattr(logs, "log_event", lambda name, **_: events.append(name))

    async def two_texts(system: VirtualSystem) -> None:
        control_plane = system.control_planes[CONTROL_PLANES[0]]
        await replace_config(control_plane, 1)
        data_plane = await system.start_data_plane(DATA_PLANES[0])
        await system.wait_until(lambda: data_plane.control_client.config.routing_table.version == 1)
        committed = data_plane.control_client.config.compressed_document
        other = zlib.compress(config_text(1, "other"))
        connection = next(iter(control_plane.data_planes)).connection
        for status, by_control_plane in ((ConfigStatus.COMMITTED, True), (ConfigStatus.CURRENT, False)):
            offer = ConfigOffer(1, other, digest_of(config_text(1, "other")), status)
            data_plane.control_client.config.offer(offer, by_control_plane)
            assert data_plane.control_client.config.compressed_document == committed
        data_plane.control_client.on_message(
            connection, ConfigOffer(1, other, digest_of(config_text(1)), ConfigStatus.CURRENT)
        )
        # Refused: the text is not that of the digest.
        assert data_plane.control_client.config.compressed_document == committed
        data_plane.control_client.on_message(
            connection, ConfigOffer(1, other, digest_of(config_text(1, "other")), ConfigStatus.CURRENT)
        )
        assert data_plane.control_client.config.compressed_document == other
        # Its control planes still have the committed one, and send it again.
        await system.wait_until(lambda: data_plane.control_client.config.compressed_document == committed)

    run_virtual_system(monkeypatch, two_texts)
    assert events.count("config_digest_mismatch") == 2
