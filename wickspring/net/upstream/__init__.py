"""Ticket servers: jobs, and the connections that carry them."""
