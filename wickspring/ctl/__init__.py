"""The operator's command line of a gateway; `python -m wickspring.ctl`."""
