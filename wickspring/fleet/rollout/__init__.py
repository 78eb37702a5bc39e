"""The coordinator of one operation as pure functions: no I/O and no clock.

    CLAIMING -> RUNNING -> RELEASING -> DONE | FAILED | REFUSED | CANCELLED
                   |  ^
                   v  |  (an upgrade whose build fails)
                REVERTING

`plan` makes an operation, `coordinator` advances it and returns the requests to send, `replies` applies the
replies. `instance_steps` judges each instance by what its agent reports.

Every request may be repeated, so the caller sends what `advance` returns each time, and a coordinator that
was killed continues from the operation as it was stored. Claims are requested from one agent after another
in order of name: two operations cannot each hold what the other waits for.
"""
