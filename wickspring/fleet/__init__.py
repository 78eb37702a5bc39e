"""A fleet of ingresses: what is wanted of each, and how operations bring it about; no I/O and no clock."""
