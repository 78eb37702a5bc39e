"""Control plane: replicates the configuration, tracks endpoints and load, and counts quotas."""
