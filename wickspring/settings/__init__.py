"""Settings files that several programs read: a module for each file, and what reading them shares."""
