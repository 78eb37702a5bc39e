"""The operator's command line of a whole gateway."""
