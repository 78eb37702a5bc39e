"""Alias of `wickspring.ctl` under its former name, kept for one release."""
