"""The decisions of a pilot, by concern. No I/O and no clock; times are milliseconds."""
