"""What a run saw, its figures and its plots."""
