"""A cell under kills and pauses: ``python -m benchmarks.bench_faults SITE``.

Processes are killed, paused and restarted at random while workloads and
non-idempotent requests are sent. In the end every accepted workload has
ended, no key has run twice, and the audit of every log is good.
"""

import json
import random
import signal
import subprocess
import sys
import threading
import time

from benchmarks.cell import Cell, running_cell
from benchmarks.program import BIN
from mulberryhitch.cli.client import Target, send_request
from mulberryhitch.errors import MulberryhitchError

SECONDS = 60


class Callers:
    """Sends work all the time and keeps what it was told."""

    def __init__(self, cell: Cell, seed: int) -> None:
        self.cell = cell
        self.chance = random.Random(seed)
        self.accepted: list[str] = []
        self.outcomes: dict[str, list[str]] = {}
        self.runs: dict[str, int] = {}
        self.stopped = False

    def submit_forever(self) -> None:
        """Submits small workloads of each kind."""
        kinds = ('batch', 'gang', 'batch')
        while not self.stopped:
            body = json.dumps(
                {
                    'kind': self.chance.choice(kinds),
                    'task_count': self.chance.randint(1, 4),
                    'size': {'millicores': 1000, 'memory_mebibytes': 512},
                    'run_seconds': self.chance.choice((0.5, 2, 8)),
                    'restartable': self.chance.random() < 0.5,
                }
            ).encode()
            answer = self._call('POST', '/v1/workloads', body)
            if answer is not None:
                self.accepted.append(answer.content['id'])
            time.sleep(0.2)

    def send_forever(self) -> None:
        """Sends each key up to three times, at several entries."""
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
            told = self.outcomes.setdefault(key, [])
            for _ in range(self.chance.randint(1, 3)):
                answer = self._call('POST', path, b'x', headers, told)
                if answer is not None:
                    told.append('completed')
                    self.runs[key] = answer.content['runs']
            time.sleep(0.05)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        told: list[str] | None = None,
    ):
        entry = self.chance.choice(self.cell.entries)
        target = Target(entry, 'demo-operator', self._tenant())
        try:
            return send_request(target, method, path, body, headers, 12)
        except MulberryhitchError as error:
            if told is not None:
                told.append(error.outcome.value)
            return None

    def _tenant(self) -> str:
        return 'north' if self.cell.site == 'consortium' else 'farms'


def break_things(cell: Cell, seed: int) -> None:
    """Kills and pauses processes for a while; all run again in the end."""
    chance = random.Random(seed)
    ours = [name for name in cell.processes if 'standin' not in name]
    ends_at = time.monotonic() + SECONDS
    while time.monotonic() < ends_at:
        name = chance.choice(ours)
        role, _, vm = name.partition('@')
        if chance.random() < 0.5:
            cell.signal(name, signal.SIGKILL)
            cell.processes[name].wait()
            time.sleep(chance.choice((0.5, 2, 6)))
            cell.start(role, vm)
            print(f'killed and restarted {name}')
        else:
            cell.signal(name, signal.SIGSTOP)
            time.sleep(chance.choice((1, 4, 9)))
            cell.signal(name, signal.SIGCONT)
            print(f'paused {name}')
        time.sleep(1)


def check(cell: Cell, callers: Callers) -> int:
    """Prints what held; returns how much did not."""
    broken = 0
    target = Target(cell.entries[0], 'demo-operator', callers._tenant())
    states: dict[str, int] = {}
    for workload_id in callers.accepted:
        state = _state(target, workload_id)
        states[state] = states.get(state, 0) + 1
        broken += state in {'queued', 'running', 'lost'}
    doubled = [key for key, runs in callers.runs.items() if runs > 1]
    broken += len(doubled)
    told: dict[str, int] = {}
    for outcomes in callers.outcomes.values():
        for outcome in outcomes:
            told[outcome] = told.get(outcome, 0) + 1
    print(f'{len(callers.accepted)} workloads accepted: {states}')
    print(f'{len(callers.outcomes)} keys: {told}; run twice: {doubled}')
    return broken


def _state(target: Target, workload_id: str) -> str:
    ends_at = time.monotonic() + 60
    state = 'lost'
    while time.monotonic() < ends_at:
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
    """Runs a site's cell under faults."""
    site = sys.argv[1] if len(sys.argv) > 1 else 'consortium'
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    with running_cell(site, workers=3, servers=3) as cell:
        callers = Callers(cell, seed)
        threads = [
            threading.Thread(target=callers.submit_forever, daemon=True),
            threading.Thread(target=callers.send_forever, daemon=True),
        ]
        for thread in threads:
            thread.start()
        break_things(cell, seed)
        time.sleep(5)
        callers.stopped = True
        for thread in threads:
            thread.join(30)
        broken = check(cell, callers)
        cell.stop_all()
        verdict = subprocess.run(
            [BIN / 'mulberryhitch-inspect', 'verify', cell.folder / 'data'],
            capture_output=True,
            text=True,
        )
        print(verdict.stdout + verdict.stderr)
    print(f'broken: {broken}; audit status {verdict.returncode}')
    return 1 if broken or verdict.returncode else 0


if __name__ == '__main__':
    sys.exit(main())
