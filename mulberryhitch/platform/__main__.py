"""Runs a program of the platform: ``python -m mulberryhitch.platform``."""

import sys

from mulberryhitch.core import on_platform

if __name__ == '__main__':
    sys.exit(on_platform())
