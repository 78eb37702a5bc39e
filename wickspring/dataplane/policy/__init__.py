"""Decisions of the data plane, one concern a module. No I/O and no clock; times are milliseconds."""
