"""Parts that the data plane, the control plane and their command line share."""
