"""What the scripts of the second review share: a small deployment on loopback, and its stand-ins."""
