"""`python -m wickspring.helm`: runs `python -m wickspring.ctl` and says that the name has changed."""

import sys

from wickspring.ctl.__main__ import main

sys.stderr.write("wickspring.helm is now wickspring.ctl; this alias goes with the next release\n")
main()
