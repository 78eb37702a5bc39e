"""Membership of many processes: anti-entropy, SWIM and failure detection, without I/O or a clock."""
