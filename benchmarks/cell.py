"""Starts an example site's cell as separate processes, for a measurement."""

import json
import shutil
import signal
import subprocess
import tempfile
import time
from contextlib import contextmanager
from pathlib import Path

from benchmarks.program import BIN

EXAMPLES = Path(__file__).parent.parent / 'examples'
SERVICES = {'consortium': 'returns', 'jadranska': 'corrections'}


class Cell:
    """The processes of a site, by name."""

    def __init__(self, site: str, folder: Path) -> None:
        self.site = site
        self.service = SERVICES[site]
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
            for centre in self.data_centres.values()
            for vm in centre['vms'].values()
        ]

    def start_all(self, workers: int, servers: int) -> None:
        """Starts every process."""
        for number, (name, centre) in enumerate(self.data_centres.items()):
            for vm, settings in centre['vms'].items():
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
                f'127.0.{number + 1}.100',
                '--service',
                self.service,
                '--workers',
                str(workers),
                '--servers',
                str(servers),
            )

    def start(self, role: str, vm: str) -> None:
        """Starts one process of ours."""
        self._spawn(
            f'{role}@{vm}',
            f'mulberryhitch-{role}',
            '--settings',
            str(self.settings),
            '--vm',
            vm,
        )

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to one process."""
        self.processes[name].send_signal(number)

    def log_lines(self, name: str) -> list[dict[str, object]]:
        """What a process has logged."""
        path = self.folder / f'{name}.log'
        lines = []
        for line in path.read_text().splitlines():
            if line.startswith('{'):
                lines.append(json.loads(line))
        return lines

    def stop_all(self) -> None:
        """Ends every process."""
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
    """A site's cell that has had time to begin."""
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(site, Path(folder))
        cell.start_all(workers, servers)
        try:
            time.sleep(20)
            yield cell
        finally:
            cell.stop_all()
