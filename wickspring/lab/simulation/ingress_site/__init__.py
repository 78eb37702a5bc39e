"""A large site in virtual time: the ingress's real decision module, reducer and connection pools, no socket.

Each ingress knows a subset of the servers, as at sites of this size. A dial costs the server a piece of a
core's time and succeeds when that is done, or fails at the time-out; so a storm of dials takes the capacity
that requests need. What is observed is recorded as in a run on sockets and checked by the same rules.
"""
