"""`python -m wickspring.pilot`."""

from wickspring.harbour.process import main
from wickspring.pilot.pilot import run

main(run)
