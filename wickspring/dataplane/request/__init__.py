"""The handling of one client request, step by step.

`validation` finds a request's route and tenant, `admission` registers it and asks for its quota
(`quota_check`) and for advice on endpoints, `forwarding` sends it to an endpoint and learns how each attempt
ended, `retry_budgets` bounds further attempts, `hedging` sends a slow request to a second endpoint, and
`response` ends it with an endpoint's response or an error. `startup_queue` keeps requests that come before
the configuration.
`docs/design/answers.md` lists what may go wrong on the way.
"""
