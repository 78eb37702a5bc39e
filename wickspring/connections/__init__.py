"""Connections to ticket servers: which one, when to dial, when to retire; no socket and no clock."""
