"""The laboratory: an emulated site on loopback or in virtual time, load, a checker of the rules, reports."""
