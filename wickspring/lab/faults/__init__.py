"""Faults that a run brings about, between processes and in virtual time."""
