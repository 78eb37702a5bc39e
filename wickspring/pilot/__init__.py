"""The data plane of a whole gateway: takes clients' requests and brings each to a server."""
