"""Which servers an ingress uses, their latencies, its concurrency limit, maintenance; no I/O, no clock."""
