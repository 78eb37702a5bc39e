"""HTTP API of the control plane: one handler for each resource that servers and operators call."""
