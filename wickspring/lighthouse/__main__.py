"""`python -m wickspring.lighthouse`."""

from wickspring.harbour.process import main
from wickspring.lighthouse.light import run

main(run)
