"""Soak: a gateway of processes under load for a while, with seeded series of overlapping faults and changes.

`plan` draws what happens and when, `clients` are those who use the gateway, `run` plays a plan, and `checks`
judges it by what clients, stand-in servers and the operator have observed.

    python -m wickspring.lab.experiments.soak --seeds 1-50 --seconds 15
"""
