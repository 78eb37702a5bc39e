"""The handling of one client request, step by step.

`admission` validates and routes a request and has its quota checked, `forwarding` sends it to an endpoint and
learns how each attempt ended, `hedging` sends a slow one to a second endpoint, and `response` ends it with an
endpoint's response or an error. `docs/design/answers.md` lists what may go wrong on the way.
"""
