"""Cost by cell size: ``python -m benchmarks.bench_slopes``.

Measures the entry and scheduler of one VM as separate processes, for growing
numbers of workers and backend servers; and the size of a heartbeat for growing
numbers of announced backend servers.
"""

import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.cell import EXAMPLES
from benchmarks.helpers import (
    BIN,
    cpu_seconds,
    resident_mebibytes,
)
from mulberryhitch.rpc.codec import Call, encode_call
from mulberryhitch.rpc.messages import Announcement, CallHeader, Heartbeat
from tests.local_cell import find_free_ports

MEASURED_SECONDS = 8


def write_settings(folder: Path, port: int) -> Path:
    """Writes the settings of a cell of one VM; returns their folder."""
    base = json.loads((EXAMPLES / 'consortium/base.json').read_text())
    vm = {
        'address': '127.0.0.1',
        'disk': True,
        'http_port': port,
        'entry_port': port + 1,
        'scheduler_port': port + 2,
    }
    base['data_centres'] = {'muscat': {'vms': {'muscat-1': vm}}}
    base['data_folder'] = str(folder / 'data')
    (folder / 'base.json').write_text(json.dumps(base))
    return folder


def measure_idle_cost(workers: int, servers: int) -> None:
    """Prints the idle processor share and memory of both programs."""
    port = find_free_ports(workers + servers + 10)
    with tempfile.TemporaryDirectory() as folder_name:
        folder = write_settings(Path(folder_name), port)
        common_options = ['--settings', str(folder)]
        vm_options = [*common_options, '--vm', 'muscat-1']
        standin_options = [
            *common_options,
            '--data-centre=muscat',
            '--host=127.0.0.1',
            f'--first-port={port + 5}',
            f'--workers={workers}',
            f'--servers={servers}',
        ]
        processes = {
            role: subprocess.Popen(
                [BIN / f'mulberryhitch-{role}', *options],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            for role, options in (
                ('scheduler', vm_options),
                ('entry', vm_options),
                ('standin', standin_options),
            )
        }
        time.sleep(10)
        cpu_seconds_before = {
            role: cpu_seconds(process.pid)
            for role, process in processes.items()
        }
        time.sleep(MEASURED_SECONDS)
        for role in ('scheduler', 'entry'):
            pid = processes[role].pid
            share = (
                cpu_seconds(pid) - cpu_seconds_before[role]
            ) / MEASURED_SECONDS
            print(
                f'{workers:4} workers {servers:4} servers  {role:10}'
                f'{share * 100:6.1f}% of a core  '
                f'{resident_mebibytes(pid):6.1f} MiB'
            )
        for process in processes.values():
            process.kill()
            process.wait()


def heartbeat_bytes(servers: int) -> int:
    """Returns the size in bytes of a heartbeat announcing these servers."""
    announcements = [
        Announcement(
            f'server-{number}',
            'returns',
            'muscat',
            '127.0.1.100:8800',
            'ready',
            8,
            64,
            3,
            'entry@muscat-1',
            1234.5,
            1,
            number,
            0.25,
        )
        for number in range(servers)
    ]
    heartbeat = Heartbeat(
        'entry@muscat-1',
        1,
        'entry',
        'muscat',
        'muscat-1',
        '127.0.1.1:8701',
        '127.0.1.1:8700',
        'ready',
        500,
        announcements=announcements,
    )
    return len(
        encode_call(Call('exchange', 1, CallHeader('x', 1.0), heartbeat))
    )


def main() -> int:
    """Runs the benchmark."""
    for servers in (0, 8, 24, 240):
        print(f'a heartbeat of {servers:3} servers: {heartbeat_bytes(servers)}')
    for workers, servers in ((8, 8), (48, 8), (144, 8), (8, 48), (8, 144)):
        measure_idle_cost(workers, servers)
    return 0


if __name__ == '__main__':
    sys.exit(main())
