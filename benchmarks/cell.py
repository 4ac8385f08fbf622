"""Starts the cell of an example site as separate processes."""

import json
import shutil
import signal
import subprocess
import tempfile
import time
from contextlib import contextmanager
from pathlib import Path

from benchmarks.helpers import BIN

EXAMPLES = Path(__file__).parent.parent / 'examples'
SERVICE_BY_SITE = {'consortium': 'returns', 'jadranska': 'corrections'}


class Cell:
    """Processes of a site's cell, by names such as ``entry@muscat-1``."""

    def __init__(self, site: str, folder: Path) -> None:
        self.site = site
        self.service = SERVICE_BY_SITE[site]
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.settings = folder / 'settings'
        shutil.copytree(EXAMPLES / site, self.settings)
        base = json.loads((self.settings / 'base.json').read_text())
        base['data_folder'] = str(folder / 'data')
        (self.settings / 'base.json').write_text(json.dumps(base))
        self.data_centres = base['data_centres']
        self.entries = [
            f'{vm["address"]}:8700'
            for data_centre in self.data_centres.values()
            for vm in data_centre['vms'].values()
        ]

    def start_all(self, workers: int, servers: int) -> None:
        """Starts every process."""
        for index, (name, data_centre) in enumerate(self.data_centres.items()):
            for vm, settings in data_centre['vms'].items():
                if settings['disk']:
                    self.start('scheduler', vm)
                self.start('entry', vm)
            self._spawn(
                f'standin@{name}',
                'mulberryhitch-standin',
                '--settings',
                str(self.settings),
                '--data-centre',
                name,
                '--host',
                f'127.0.{index + 1}.100',
                '--service',
                self.service,
                '--workers',
                str(workers),
                '--servers',
                str(servers),
            )

    def start(self, role: str, vm: str) -> None:
        """Starts the entry or scheduler of a VM."""
        self._spawn(
            f'{role}@{vm}',
            f'mulberryhitch-{role}',
            '--settings',
            str(self.settings),
            '--vm',
            vm,
        )

    def send_signal(self, name: str, signal_number: int) -> None:
        """Sends a signal to one process."""
        self.processes[name].send_signal(signal_number)

    def read_log(self, name: str) -> list[dict[str, object]]:
        """Returns the JSON lines that a process has logged."""
        path = self.folder / f'{name}.log'
        lines = []
        for line in path.read_text().splitlines():
            if line.startswith('{'):
                lines.append(json.loads(line))
        return lines

    def stop_all(self) -> None:
        """Terminates every process; kills those that run 25 s later."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(25)
            except subprocess.TimeoutExpired:
                process.kill()

    def _spawn(self, name: str, program: str, *options: str) -> None:
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [BIN / program, *options], stdout=log, stderr=log
            )


@contextmanager
def running_cell(site: str, workers: int = 4, servers: int = 4):
    """Starts a site's cell and yields it after 20 s."""
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(site, Path(folder))
        cell.start_all(workers, servers)
        try:
            time.sleep(20)
            yield cell
        finally:
            cell.stop_all()
