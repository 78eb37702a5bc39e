"""What the pilot (data plane) and the lighthouse (control plane) of a whole gateway share."""
