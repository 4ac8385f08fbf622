"""SIGHUP does not end a process, even while it starts."""

import signal
import subprocess
import sys

# Prints the SIGHUP handler when the platform imports mulberryhitch.core.
PROGRAM = """
import runpy, signal, sys

class ImportHook:
    def find_spec(self, name, path=None, target=None):
        if name == 'mulberryhitch.core':
            print(signal.getsignal(signal.SIGHUP), flush=True)
            sys.exit(0)

sys.meta_path.insert(0, ImportHook())
runpy.run_module('mulberryhitch.platform', run_name='__main__')
"""


def test_sighup_is_ignored_before_other_modules_are_loaded() -> None:
    result = subprocess.run(
        [sys.executable, '-c', PROGRAM],
        capture_output=True,
        check=True,
        text=True,
    )
    assert result.stdout.strip() == str(signal.SIG_IGN)
