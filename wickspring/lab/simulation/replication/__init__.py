"""The real replication group of the control plane in virtual time, and the checks of its invariants."""
