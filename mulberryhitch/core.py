"""Entry points of the programs; each returns an exit status."""

import random
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any

import anyio
import typer

from mulberryhitch.errors import InvalidSettingsError, MulberryhitchError
from mulberryhitch.exit_status import ExitStatus, exit_status_of
from mulberryhitch.signals import watch_signals

_SETTINGS = Annotated[
    Path, typer.Option(help='Folder with base.json and its overlays.')
]
_VM = Annotated[str, typer.Option(help='Name of this VM in the settings.')]
_PROGRAM = Annotated[
    str, typer.Argument(help='Program to run: entry or scheduler.')
]
_ADDRESS = Annotated[str, typer.Option(help='IP address and port.')]


def operator() -> int:
    """The program ``mulberryhitch``."""
    from mulberryhitch.cli.app import app

    return main(app)


def entry() -> int:
    """The program ``mulberryhitch-entry``."""
    return main(_program_app(_run_entry))


def scheduler() -> int:
    """The program ``mulberryhitch-scheduler``."""
    return main(_program_app(_run_scheduler))


def inspect() -> int:
    """The program ``mulberryhitch-inspect``."""
    from mulberryhitch.cli.inspect import app

    return main(app)


def local() -> int:
    """The program ``mulberryhitch-local``."""
    from mulberryhitch.local import app

    return main(app)


def standin() -> int:
    """The program ``mulberryhitch-standin``."""
    from mulberryhitch.standins.app import app

    return main(app)


def on_platform() -> int:
    """The platform's programs: ``entry`` and ``scheduler``."""
    return main(_platform_app())


def main(app: typer.Typer) -> int:
    """Runs a command line, prints its error, and returns its exit status."""
    from mulberryhitch.cli.output import show_error

    try:
        status = app(standalone_mode=False)
    except MulberryhitchError as error:
        show_error(error)
        return exit_status_of(error)
    except BaseExceptionGroup as group:
        first_error = first_project_error(group)
        if first_error is None:
            raise
        show_error(first_error)
        return exit_status_of(first_error)
    except Exception as error:
        if not hasattr(error, 'format_message'):
            raise
        print(error.format_message(), file=sys.stderr)  # noqa: WPS421
        return ExitStatus.usage
    return status if isinstance(status, int) else ExitStatus.ok


def first_project_error(
    group: BaseExceptionGroup[Any],
) -> MulberryhitchError | None:
    """Returns the first error of this project in a group, or None."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            nested = first_project_error(error)
            if nested is not None:
                return nested
        elif isinstance(error, MulberryhitchError):
            return error
    return None


def _program_app(
    run: Callable[[Path, str], Awaitable[None]],
) -> typer.Typer:
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

    @app.command()
    def start(settings: _SETTINGS, vm: _VM) -> None:
        from mulberryhitch.observability.log import (
            start_logging,
        )

        start_logging()
        anyio.run(run, settings, vm)

    return app


def _platform_app() -> typer.Typer:
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

    @app.command()
    def start(program: _PROGRAM) -> None:
        from mulberryhitch.observability.log import (
            NonBlockingLineStream,
            start_logging,
        )

        start_logging(NonBlockingLineStream(sys.stdout.fileno()))
        anyio.run(_run_on_platform, program)

    return app


async def _run_on_platform(name: str) -> None:
    from mulberryhitch.freed_memory import return_large_blocks
    from mulberryhitch.garbage_collection import tune_garbage_collector
    from mulberryhitch.platform.settings import (
        load_platform_settings,
    )
    from mulberryhitch.platform_composition import (
        PROGRAMS,
    )

    if name not in PROGRAMS:
        raise InvalidSettingsError(
            f'unknown program; expected one of {sorted(PROGRAMS)}', where=name
        )
    tune_garbage_collector()
    return_large_blocks()
    stop = anyio.Event()
    program = PROGRAMS[name](load_platform_settings(), stop)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_signals, stop, program.log_cut_off)
        await program.run()
        tasks.cancel_scope.cancel()


async def _run_entry(folder: Path, vm: str) -> None:
    from mulberryhitch.composition import EntryProcess

    await _run_process(EntryProcess, folder, vm)


async def _run_scheduler(folder: Path, vm: str) -> None:
    from mulberryhitch.composition import SchedulerProcess
    from mulberryhitch.garbage_collection import tune_garbage_collector

    tune_garbage_collector()
    await _run_process(SchedulerProcess, folder, vm)


async def _run_process(process_type: Any, folder: Path, vm: str) -> None:
    from mulberryhitch.composition import Environment
    from mulberryhitch.configuration.settings import (
        load_settings,
    )
    from mulberryhitch.freed_memory import return_large_blocks

    return_large_blocks()
    data_centre = load_settings(folder).data_centre_of(vm)
    settings = load_settings(folder, data_centre)
    if not settings.vm(vm).disk and process_type.__name__ == 'SchedulerProcess':
        raise InvalidSettingsError(
            'this VM has no disk; a scheduler needs one', where=vm
        )
    environment = Environment(settings, vm, anyio.Event(), random.Random())
    process = process_type(environment)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_signals, environment.stop, process.log_cut_off)
        await process.run()
        tasks.cancel_scope.cancel()
