"""A fleet of ingresses: the desired state of each, and the operations that change it; no I/O and no clock."""
