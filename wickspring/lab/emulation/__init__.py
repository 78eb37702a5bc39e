"""Emulated sites: stand-in services, servers and whole gateways on loopback."""
