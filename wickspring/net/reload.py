"""Reading the configuration again while the ingress serves."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

import msgspec

from wickspring.config import Instance
from wickspring.logs import kv
from wickspring.net.runtime import Runtime
from wickspring.settings.errors import ConfigError

log = logging.getLogger(__name__)

RELOADED = ("discovery", "counter")  # what can change under load; all else needs a restart

ReadInstance = Callable[[], Instance]


def reload(runtime: Runtime, read_instance: ReadInstance) -> None:
    """Apply what can change under load, and log the names of other settings that have changed."""
    old = runtime.instance
    try:
        new = read_instance()
    except ConfigError as error:
        log.error("reload_failed", extra=kv(reason=error))
        return
    runtime.instance = msgspec.structs.replace(old, discovery=new.discovery, counter=new.counter)
    runtime.discovery.move(new.discovery)
    runtime.counter.move(new.counter)
    addresses = {name: f"{host}:{port}" for name in RELOADED for host, port in [getattr(new, name)]}
    needs_restart = ",".join(_changed_settings(old, new)) or "-"
    log.info("reloaded", extra=kv(**addresses, needs_restart=needs_restart))


def _changed_settings(old: Instance, new: Instance) -> list[str]:
    """Return the names of settings that differ and are not reloaded."""
    same_seed = replace(new.settings, seed=old.settings.seed)  # a seed is new with each file
    comparable = msgspec.structs.replace(new, settings=same_seed, known=old.known)
    return [
        name
        for name in Instance.__struct_fields__
        if name not in RELOADED and getattr(old, name) != getattr(comparable, name)
    ]
