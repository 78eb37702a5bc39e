"""Data plane: takes the requests of clients and forwards each to an endpoint of the routed service."""
