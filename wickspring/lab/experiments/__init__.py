"""Experiments: scenarios, their runs, and measurements of capacity and recovery."""
