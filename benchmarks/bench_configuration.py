"""How soon a change is in force: ``python -m benchmarks.bench_configuration``.

Makes 500 changes through the entries of a cell of separate processes and
reads from every process's log when each version came into force there. Also
prints what an idle process costs.
"""

import signal
import sys
import time

from benchmarks.cell import Cell, running_cell
from benchmarks.program import cpu_seconds, quantile, resident_mebibytes
from mulberryhitch.cli.client import Target, send_request
from mulberryhitch.errors import MulberryhitchError

CHANGES = 500
IDLE_SECONDS = 10


def make_changes(cell: Cell) -> dict[int, float]:
    """Makes the changes; tells when each version was accepted."""
    accepted: dict[int, float] = {}
    target = Target(cell.entries[0], 'demo-operator', '')
    content = send_request(target, 'GET', '/v1/configuration').content
    document = content['configuration']
    version = content['version']
    for number in range(CHANGES):
        entry = cell.entries[number % len(cell.entries)]
        document['base']['tenants']['north']['weight'] = 1 + number % 7
        body = _json(document)
        headers = {'If-Match': str(version), 'Idempotency-Key': f'c{number}'}
        try:
            answer = send_request(
                Target(entry, 'demo-operator', ''),
                'PUT',
                '/v1/configuration',
                body,
                headers,
            )
        except MulberryhitchError as error:
            print(f'change {number} at {entry}: {error.code} {error.what}')
            continue
        version = answer.content['version']
        accepted[version] = time.time()
    return accepted


def _json(document: object) -> bytes:
    import json

    return json.dumps(document).encode()


def report(cell: Cell, accepted: dict[int, float]) -> None:
    """Prints the distribution over all processes and versions.

    A process may pass over a version that a newer one has overtaken: it then
    counts as in force when the newer one is.
    """
    delays: list[float] = []
    reverted = 0
    names = [name for name in cell.processes if 'standin' not in name]
    for name in names:
        applied = [
            (int(line['version']), float(line['timestamp']))
            for line in cell.log_lines(name)
            if line.get('message_type') == 'configuration.in_force'
        ]
        versions = [version for version, _ in applied]
        reverted += versions != sorted(versions)
        for version, at in accepted.items():
            later = [when for known, when in applied if known >= version]
            delays.append(max(min(later, default=at + 999) - at, 0.0))
    print(
        f'{len(accepted)} changes at {len(names)} processes: median '
        f'{quantile(delays, 0.5):.3f} s, p99 {quantile(delays, 0.99):.3f} s, '
        f'worst {max(delays):.3f} s; reverted at {reverted} processes'
    )


def idle(cell: Cell) -> None:
    """Prints the processor time and memory of idle processes."""
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
    """Runs all of it."""
    with running_cell('consortium', workers=2, servers=2) as cell:
        idle(cell)
        accepted = make_changes(cell)
        time.sleep(4)
        report(cell, accepted)
        cell.signal('scheduler@muscat-1', signal.SIGTERM)
        print('graceful stop:', cell.processes['scheduler@muscat-1'].wait(20))
    return 0


if __name__ == '__main__':
    sys.exit(main())
