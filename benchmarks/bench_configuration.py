"""Delay of configuration changes: ``python -m benchmarks.bench_configuration``.

Makes 500 changes through the entries of a cell of separate processes and
reads from the log of every process when each version came into force there.
Also prints the processor share and memory of idle processes.
"""

import signal
import sys
import time

from benchmarks.cell import Cell, running_cell
from benchmarks.helpers import cpu_seconds, quantile, resident_mebibytes
from mulberryhitch.cli.client import Target, send_request
from mulberryhitch.errors import MulberryhitchError

CHANGE_COUNT = 500
IDLE_SECONDS = 10


def make_changes(cell: Cell) -> dict[int, float]:
    """Changes the configuration; returns when each version was accepted."""
    accepted: dict[int, float] = {}
    target = Target(cell.entries[0], 'demo-operator', '')
    content = send_request(target, 'GET', '/v1/configuration').content
    document = content['configuration']
    version = content['version']
    for change_number in range(CHANGE_COUNT):
        entry = cell.entries[change_number % len(cell.entries)]
        document['base']['tenants']['north']['weight'] = 1 + change_number % 7
        body = _encode_json(document)
        headers = {
            'If-Match': str(version),
            'Idempotency-Key': f'c{change_number}',
        }
        try:
            response = send_request(
                Target(entry, 'demo-operator', ''),
                'PUT',
                '/v1/configuration',
                body,
                headers,
            )
        except MulberryhitchError as error:
            print(
                f'change {change_number} at {entry}: {error.code} {error.what}'
            )
            continue
        version = response.content['version']
        accepted[version] = time.time()
    return accepted


def _encode_json(document: object) -> bytes:
    import json

    return json.dumps(document).encode()


def print_delays(cell: Cell, accepted: dict[int, float]) -> None:
    """Prints the distribution of the delays over all processes and versions.

    A process may skip a version that a newer one has replaced: the version
    then counts as in force when the newer one is.
    """
    delays: list[float] = []
    reverted = 0
    names = [name for name in cell.processes if 'standin' not in name]
    for name in names:
        applied = [
            (int(line['version']), float(line['timestamp']))
            for line in cell.read_log(name)
            if line.get('message_type') == 'configuration.in_force'
        ]
        versions = [version for version, _ in applied]
        reverted += versions != sorted(versions)
        for version, accepted_at in accepted.items():
            in_force_at = [
                at
                for applied_version, at in applied
                if applied_version >= version
            ]
            delays.append(
                max(
                    min(in_force_at, default=accepted_at + 999) - accepted_at,
                    0.0,
                )
            )
    print(
        f'{len(accepted)} changes at {len(names)} processes: median '
        f'{quantile(delays, 0.5):.3f} s, p99 {quantile(delays, 0.99):.3f} s, '
        f'worst {max(delays):.3f} s; reverted at {reverted} processes'
    )


def print_idle_cost(cell: Cell) -> None:
    """Prints the processor share and memory of idle processes."""
    for name in ('entry@muscat-1', 'entry@muscat-3', 'scheduler@muscat-1'):
        pid = cell.processes[name].pid
        before = cpu_seconds(pid)
        time.sleep(IDLE_SECONDS)
        share = (cpu_seconds(pid) - before) / IDLE_SECONDS
        print(
            f'{name}: {share * 100:.1f}% of a core idle, '
            f'{resident_mebibytes(pid):.0f} MiB'
        )


def main() -> int:
    """Runs the benchmark."""
    with running_cell('consortium', workers=2, servers=2) as cell:
        print_idle_cost(cell)
        accepted = make_changes(cell)
        time.sleep(4)
        print_delays(cell, accepted)
        cell.send_signal('scheduler@muscat-1', signal.SIGTERM)
        print('graceful stop:', cell.processes['scheduler@muscat-1'].wait(20))
    return 0


if __name__ == '__main__':
    sys.exit(main())
