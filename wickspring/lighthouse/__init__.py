"""The control plane of a whole gateway: configuration, servers, counts, and the core that keeps them."""
