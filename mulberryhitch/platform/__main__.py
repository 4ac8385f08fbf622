"""Entry point of ``python -m mulberryhitch.platform``."""

import signal
import sys


def main() -> int:
    """Runs the program named by the arguments.

    SIGHUP is ignored before the other imports, because one received while
    they load would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from mulberryhitch.core import on_platform

    return on_platform()


if __name__ == '__main__':
    sys.exit(main())
