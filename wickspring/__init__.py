"""wickspring: a gateway that meters many customers' use of one shared service."""

__version__ = "0.2.0"
