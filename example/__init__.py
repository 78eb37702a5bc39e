"""A toy site to try the gateway with."""
