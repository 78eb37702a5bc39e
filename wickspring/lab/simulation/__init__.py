"""Simulations in virtual time of the project's real state machines; no socket."""
