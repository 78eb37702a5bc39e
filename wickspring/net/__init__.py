"""The ingress on real sockets: fronts, links to ticket servers, counter, discovery and the runtime."""
