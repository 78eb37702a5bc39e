"""Load generation: the schedule of a run's requests and the client that sends them."""
