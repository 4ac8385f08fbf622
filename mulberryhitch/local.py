"""The program ``mulberryhitch-local``: a complete cell in one process."""

import random
import tempfile
from pathlib import Path
from typing import Annotated

import anyio
import typer

from mulberryhitch.composition import (
    EntryProcess,
    Environment,
    SchedulerProcess,
)
from mulberryhitch.configuration.models import CellDocument, token_hash
from mulberryhitch.configuration.settings import (
    DataCentreSettings,
    Settings,
    VmSettings,
)
from mulberryhitch.observability.log import start_logging
from mulberryhitch.signals import watch_signals
from mulberryhitch.standins.programs import AnnouncementTarget, run_fleet
from mulberryhitch.workloads.model import Size

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

_HOST = '127.0.0.1'
_DATA_CENTRE = 'home'
_VM = 'vm-1'
_WORKER_SIZE = Size(8_000, 16_384, 1)
_DEMO_TOKENS = {
    'operator': 'demo-operator',
    'north': 'demo-north',
    'south': 'demo-south',
    'worker': 'demo-worker',
    'backend_server': 'demo-backend-server',
}
_WELCOME = """\
mulberryhitch runs on http://{host}:{port}  (data in {data})

Try, in another terminal:

  .venv/bin/mulberryhitch --tenant north submit batch --tasks 3 --seconds 2
  .venv/bin/mulberryhitch --tenant north submit gang --tasks 4 --seconds 2
  .venv/bin/mulberryhitch --tenant south submit service --tasks 2
  .venv/bin/mulberryhitch --tenant north list
  .venv/bin/mulberryhitch --tenant north send returns /hello
  .venv/bin/mulberryhitch --tenant south send returns /file --once --method POST
  .venv/bin/mulberryhitch members

Stop it with Ctrl-C.
"""


def demo_document() -> CellDocument:
    """Returns the demo cell's configuration."""
    return CellDocument(
        base={
            'tenants': {
                name: {'token_hashes': [token_hash(_DEMO_TOKENS[name])]}
                for name in ('north', 'south')
            },
            'operators': _token_hashes('operator'),
            'workers': _token_hashes('worker'),
            'backend_servers': _token_hashes('backend_server'),
            'services': {'returns': {}},
        }
    )


def local_settings(port: int, data_folder: str) -> Settings:
    """Returns the settings of a cell of one VM."""
    return Settings(
        cell='local',
        data_centres={
            _DATA_CENTRE: DataCentreSettings(
                vms={_VM: VmSettings.model_validate(_vm_settings(port))}
            ),
        },
        data_folder=data_folder,
        drain_seconds=2,
        configuration=demo_document(),
    )


@app.command()
def start(
    port: Annotated[
        int, typer.Option(help='First of the ports to use.')
    ] = 8700,
    data: Annotated[
        str, typer.Option(help='Data folder; a new temporary one if empty.')
    ] = '',
    workers: Annotated[int, typer.Option()] = 4,
    servers: Annotated[int, typer.Option()] = 3,
) -> None:
    """Runs an entry, a scheduler, workers and backend servers."""
    folder = data or tempfile.mkdtemp(prefix='mulberryhitch-')
    with Path(folder, 'log.json').open('a', encoding='utf-8') as log_file:
        start_logging(log_file)
        anyio.run(run_local, port, folder, workers, servers)


async def run_local(port: int, folder: str, workers: int, servers: int) -> None:
    """Runs the cell until a termination signal is received."""
    stop = anyio.Event()
    environment = Environment(
        local_settings(port, folder), _VM, stop, random.Random()
    )
    target = AnnouncementTarget(
        _DATA_CENTRE,
        (f'{_HOST}:{port}',),
        _DEMO_TOKENS['worker'],
        _DEMO_TOKENS['backend_server'],
    )
    entry = EntryProcess(environment)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_signals, stop, entry.log_cut_off)
        tasks.start_soon(SchedulerProcess(environment).run)
        tasks.start_soon(
            run_fleet,
            target,
            '',
            _HOST,
            port + 10,
            workers,
            2,
            _WORKER_SIZE,
            servers,
            'returns',
        )
        print(  # noqa: WPS421
            _WELCOME.format(host=_HOST, port=port, data=folder), flush=True
        )
        await entry.run()
        tasks.cancel_scope.cancel()


def _token_hashes(role: str) -> dict[str, list[str]]:
    return {'token_hashes': [token_hash(_DEMO_TOKENS[role])]}


def _vm_settings(port: int) -> dict[str, object]:
    return {
        'address': _HOST,
        'disk': True,
        'http_port': port,
        'entry_port': port + 1,
        'scheduler_port': port + 2,
    }
