#!/bin/sh
# Plays the case; exits with 1 where the rule was broken, 0 where it held, 2 where it could not run.
# TROUBLE=0 plays it without the disruption. What was sent, run and answered goes into record.txt.
cd "$(dirname "$0")" && exec python3 case.py
