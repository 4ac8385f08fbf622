"""Cell under faults: ``python -m benchmarks.bench_faults [SITE [SEED]]``.

Processes are killed, paused and restarted at random while workloads and
non-idempotent requests are sent. Afterwards every accepted workload must have
ended, no idempotency key may have run twice, and every log must be valid.
"""

import json
import random
import signal
import subprocess
import sys
import threading
import time

from benchmarks.cell import Cell, running_cell
from benchmarks.helpers import BIN
from mulberryhitch.cli.client import Target, send_request
from mulberryhitch.errors import MulberryhitchError

FAULT_SECONDS = 60


class LoadGenerator:
    """Sends workloads and requests, and records their outcomes."""

    def __init__(self, cell: Cell, seed: int) -> None:
        self.cell = cell
        self.rng = random.Random(seed)
        self.accepted: list[str] = []
        self.outcomes_by_key: dict[str, list[str]] = {}
        self.run_counts: dict[str, int] = {}
        self.stopped = False

    def submit_workloads(self) -> None:
        """Submits small workloads of each kind until stopped."""
        kinds = ('batch', 'gang', 'batch')
        while not self.stopped:
            body = json.dumps(
                {
                    'kind': self.rng.choice(kinds),
                    'task_count': self.rng.randint(1, 4),
                    'size': {'millicores': 1000, 'memory_mebibytes': 512},
                    'run_seconds': self.rng.choice((0.5, 2, 8)),
                    'restartable': self.rng.random() < 0.5,
                }
            ).encode()
            response = self._call('POST', '/v1/workloads', body)
            if response is not None:
                self.accepted.append(response.content['id'])
            time.sleep(0.2)

    def send_requests(self) -> None:
        """Sends each idempotency key one to three times, at random entries."""
        number = 0
        path = f'/v1/services/{self.cell.service}/x'
        while not self.stopped:
            number += 1
            key = f'key-{number}'
            headers = {
                'Mulberryhitch-Idempotent': 'false',
                'Idempotency-Key': key,
                'Mulberryhitch-Deadline': '5',
            }
            outcomes = self.outcomes_by_key.setdefault(key, [])
            for _ in range(self.rng.randint(1, 3)):
                response = self._call('POST', path, b'x', headers, outcomes)
                if response is not None:
                    outcomes.append('completed')
                    self.run_counts[key] = response.content['runs']
            time.sleep(0.05)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        outcomes: list[str] | None = None,
    ):
        entry = self.rng.choice(self.cell.entries)
        target = Target(entry, 'demo-operator', self._tenant())
        try:
            return send_request(target, method, path, body, headers, 12)
        except MulberryhitchError as error:
            if outcomes is not None:
                outcomes.append(error.outcome.value)
            return None

    def _tenant(self) -> str:
        return 'north' if self.cell.site == 'consortium' else 'farms'


def inject_faults(cell: Cell, seed: int) -> None:
    """Kills and pauses processes for 60 s; all of them run at the end."""
    rng = random.Random(seed)
    names = [name for name in cell.processes if 'standin' not in name]
    deadline = time.monotonic() + FAULT_SECONDS
    while time.monotonic() < deadline:
        name = rng.choice(names)
        role, _, vm = name.partition('@')
        if rng.random() < 0.5:
            cell.send_signal(name, signal.SIGKILL)
            cell.processes[name].wait()
            time.sleep(rng.choice((0.5, 2, 6)))
            cell.start(role, vm)
            print(f'killed and restarted {name}')
        else:
            cell.send_signal(name, signal.SIGSTOP)
            time.sleep(rng.choice((1, 4, 9)))
            cell.send_signal(name, signal.SIGCONT)
            print(f'paused {name}')
        time.sleep(1)


def count_violations(cell: Cell, load: LoadGenerator) -> int:
    """Prints the outcomes; returns the number of violations."""
    violations = 0
    target = Target(cell.entries[0], 'demo-operator', load._tenant())
    states: dict[str, int] = {}
    for workload_id in load.accepted:
        state = _wait_for_end(target, workload_id)
        states[state] = states.get(state, 0) + 1
        violations += state in {'queued', 'running', 'lost'}
    repeated_keys = [key for key, count in load.run_counts.items() if count > 1]
    violations += len(repeated_keys)
    outcome_counts: dict[str, int] = {}
    for outcomes in load.outcomes_by_key.values():
        for outcome in outcomes:
            outcome_counts[outcome] = outcome_counts.get(outcome, 0) + 1
    print(f'{len(load.accepted)} workloads accepted: {states}')
    print(
        f'{len(load.outcomes_by_key)} keys: {outcome_counts}; '
        f'run twice: {repeated_keys}'
    )
    return violations


def _wait_for_end(target: Target, workload_id: str) -> str:
    deadline = time.monotonic() + 60
    state = 'lost'
    while time.monotonic() < deadline:
        try:
            path = f'/v1/workloads/{workload_id}?wait=5'
            state = send_request(target, 'GET', path).content['state']
        except MulberryhitchError as error:
            state = 'lost' if error.code == 'not_found' else state
            time.sleep(0.5)
        if state not in {'queued', 'running', 'lost'}:
            return state
    return state


def main() -> int:
    """Runs a site's cell under faults; returns 1 on violations."""
    site = sys.argv[1] if len(sys.argv) > 1 else 'consortium'
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    with running_cell(site, workers=3, servers=3) as cell:
        load = LoadGenerator(cell, seed)
        threads = [
            threading.Thread(target=load.submit_workloads, daemon=True),
            threading.Thread(target=load.send_requests, daemon=True),
        ]
        for thread in threads:
            thread.start()
        inject_faults(cell, seed)
        time.sleep(5)
        load.stopped = True
        for thread in threads:
            thread.join(30)
        violations = count_violations(cell, load)
        cell.stop_all()
        verification = subprocess.run(
            [BIN / 'mulberryhitch-inspect', 'verify', cell.folder / 'data'],
            capture_output=True,
            text=True,
        )
        print(verification.stdout + verification.stderr)
    print(f'broken: {violations}; audit status {verification.returncode}')
    return 1 if violations or verification.returncode else 0


if __name__ == '__main__':
    sys.exit(main())
