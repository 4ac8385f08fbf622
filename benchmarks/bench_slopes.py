"""How cost grows: ``python -m benchmarks.bench_slopes``.

One VM's entry and scheduler as separate processes, with more and more workers
and backend servers; and the bytes of a heartbeat with more and more in it.
"""

import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.cell import EXAMPLES
from benchmarks.program import (
    BIN,
    cpu_seconds,
    resident_mebibytes,
)
from mulberryhitch.rpc.codec import Call, encode_call
from mulberryhitch.rpc.messages import Announcement, CallHeader, Heartbeat
from tests.local_cell import free_ports

WATCHED_SECONDS = 8


def settings_folder(folder: Path, port: int) -> Path:
    """Settings of a cell of one VM."""
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


def measure(workers: int, servers: int) -> None:
    """Prints the idle cost of both programs at one size."""
    port = free_ports(workers + servers + 10)
    with tempfile.TemporaryDirectory() as name:
        folder = settings_folder(Path(name), port)
        common = ['--settings', str(folder)]
        own = [*common, '--vm', 'muscat-1']
        fleet = [
            *common,
            '--data-centre=muscat',
            '--host=127.0.0.1',
            f'--first-port={port + 5}',
            f'--workers={workers}',
            f'--servers={servers}',
        ]
        started = {
            role: subprocess.Popen(
                [BIN / f'mulberryhitch-{role}', *options],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            for role, options in (
                ('scheduler', own),
                ('entry', own),
                ('standin', fleet),
            )
        }
        time.sleep(10)
        before = {role: cpu_seconds(one.pid) for role, one in started.items()}
        time.sleep(WATCHED_SECONDS)
        for role in ('scheduler', 'entry'):
            pid = started[role].pid
            share = (cpu_seconds(pid) - before[role]) / WATCHED_SECONDS
            print(
                f'{workers:4} workers {servers:4} servers  {role:10}'
                f'{share * 100:6.1f}% of a core  '
                f'{resident_mebibytes(pid):6.1f} MiB'
            )
        for one in started.values():
            one.kill()
            one.wait()


def heartbeat_bytes(servers: int) -> int:
    """The bytes of one heartbeat that tells of so many servers."""
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
    beat = Heartbeat(
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
    return len(encode_call(Call('exchange', 1, CallHeader('x', 1.0), beat)))


def main() -> int:
    """Runs all of it."""
    for servers in (0, 8, 24, 240):
        print(f'a heartbeat of {servers:3} servers: {heartbeat_bytes(servers)}')
    for workers, servers in ((8, 8), (48, 8), (144, 8), (8, 48), (8, 144)):
        measure(workers, servers)
    return 0


if __name__ == '__main__':
    sys.exit(main())
