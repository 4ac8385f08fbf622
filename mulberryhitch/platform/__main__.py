"""Runs a program of the platform: ``python -m mulberryhitch.platform``."""

import signal
import sys


def main() -> int:
    """Runs the program that the arguments name.

    A hang-up may come before the rest is loaded, and would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from mulberryhitch.core import on_platform

    return on_platform()


if __name__ == '__main__':
    sys.exit(main())
