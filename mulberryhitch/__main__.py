"""Runs the operator's command line: ``python -m mulberryhitch``."""

import sys

from mulberryhitch.core import operator

if __name__ == '__main__':
    sys.exit(operator())
