"""Replication of the control state: chain, views agreed by Paxos, leases and the node that runs them."""
