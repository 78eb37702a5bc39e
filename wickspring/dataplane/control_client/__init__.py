"""The data plane's client of the control plane.

`connections` keeps a connection to each node of the control plane, `config_sync` adopts configurations,
`endpoint_sync` updates the endpoint table, `quota_client` has usage counted, and `load_client`
asks for advice on endpoints and reports requests in flight. `client` ties them together.
"""
