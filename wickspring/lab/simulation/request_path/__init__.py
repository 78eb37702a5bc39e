"""The path of requests through a data plane, simulated in virtual time between peers that break every rule.

The data plane's own classes run: its front, admission, forwarding, connection pools and `UpstreamConnection`.
Replaced are sockets, the clock and the control plane. `ledger` records what was requested, executed, sent and
received, and checks the invariants of `docs/design/answers.md`; `faulty_server` is the servers,
`simulation` the clients and the run, `memory_connection` what lies between.
"""
