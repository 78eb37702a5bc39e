"""wickspring: the decisions of a front door that meters many customers' use of one shared service."""
