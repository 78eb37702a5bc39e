"""Checks of the rules, from what clients and servers saw of a run."""
