"""A customer's quota, ceiling and caps as one ingress sees them; no I/O, no clock."""
