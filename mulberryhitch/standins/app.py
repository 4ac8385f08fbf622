"""Command line of ``mulberryhitch-standin``: a data centre's stand-ins."""

from pathlib import Path
from typing import Annotated

import anyio
import typer

from mulberryhitch.configuration.settings import load_settings
from mulberryhitch.standins.programs import AnnouncementTarget, run_fleet
from mulberryhitch.workloads.model import Size

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def start(
    settings: Annotated[Path, typer.Option(help='The settings folder.')],
    data_centre: Annotated[str, typer.Option()],
    host: Annotated[
        str, typer.Option(help='Address that the stand-ins listen on.')
    ],
    worker_token: Annotated[str, typer.Option()] = 'demo-worker',
    server_token: Annotated[str, typer.Option()] = 'demo-backend-server',
    service: Annotated[str, typer.Option()] = 'returns',
    first_port: Annotated[int, typer.Option()] = 8800,
    workers: Annotated[int, typer.Option()] = 8,
    racks: Annotated[int, typer.Option()] = 1,
    cores: Annotated[int, typer.Option()] = 64,
    memory: Annotated[
        int, typer.Option(help='Memory of a worker, MiB.')
    ] = 131_072,
    accelerators: Annotated[int, typer.Option()] = 0,
    servers: Annotated[int, typer.Option()] = 8,
) -> None:
    """Starts workers and backend servers that announce themselves."""
    loaded_settings = load_settings(settings, data_centre)
    entry_addresses = tuple(
        f'{vm.address}:{vm.http_port or loaded_settings.http_port}'
        for vm in loaded_settings.data_centres[data_centre].vms.values()
    )
    target = AnnouncementTarget(
        data_centre, entry_addresses, worker_token, server_token
    )
    anyio.run(
        run_fleet,
        target,
        f'{data_centre}-',
        host,
        first_port,
        workers,
        racks,
        Size(cores * 1000, memory, accelerators),
        servers,
        service,
    )
