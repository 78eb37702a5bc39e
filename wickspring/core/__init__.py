"""Requests, attempts and outcomes; no wire, no socket and no clock of its own."""
