"""Commands for a fleet: its state, what is to become of it, and how far that has come."""
