"""Program ``mulberryhitch-inspect``: reads a data folder offline."""

from pathlib import Path
from typing import Annotated, Any

import typer

from mulberryhitch.cli.output import show_json, show_table
from mulberryhitch.errors import MulberryhitchError, NotFoundError
from mulberryhitch.exit_status import ExitStatus
from mulberryhitch.replication.inspection import FolderReport, read_folder
from mulberryhitch.scheduler.audit import audit_log

app = typer.Typer(
    help='Verifies and prints the logs of a data folder.',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
_FolderArgument = Annotated[Path, typer.Argument(help='The folder of one log.')]


@app.command()
def verify(
    folder: Annotated[Path, typer.Argument(help='A data folder.')],
) -> None:
    """Verifies every log below a folder and audits its leases."""
    rows = [_row(log.parent) for log in sorted(folder.rglob('log'))]
    if not rows:
        raise NotFoundError('no log below this folder', where=str(folder))
    columns = ('folder', 'replica', 'entries', 'last_index', 'verdict')
    show_table(columns, rows)
    if any(row['verdict'] != 'good' for row in rows):
        raise typer.Exit(int(ExitStatus.failed))


@app.command('entries')
def show_entries(
    folder: _FolderArgument,
    after: Annotated[int, typer.Option(help='Start after this index.')] = 0,
    limit: Annotated[int, typer.Option()] = 50,
) -> None:
    """Prints the entries of one log."""
    report = read_folder(folder)
    selected = [entry for entry in report.entries if entry.index > after]
    for entry in selected[:limit]:
        print(
            f'{entry.index}  term {entry.term}  {entry.kind}  '
            f'{entry.body.decode(errors="replace")}'
        )


@app.command('snapshot')
def show_snapshot(folder: _FolderArgument) -> None:
    """Prints the snapshot of one log."""
    snapshot = read_folder(folder).snapshot
    if snapshot is None:
        raise NotFoundError('no snapshot', where=str(folder))
    show_json(
        {
            'last_index': snapshot.last_index,
            'last_term': snapshot.last_term,
            'voters': snapshot.members.voters,
            'learners': snapshot.members.learners,
            'state': snapshot.state.decode(errors='replace'),
        }
    )


def _row(folder: Path) -> dict[str, Any]:
    try:
        report = read_folder(folder)
        verdict = _audit(folder, report)
    except MulberryhitchError as error:
        return {
            'folder': folder,
            'verdict': f'{error.code}: {error.what} ({error.where})',
        }
    return {
        'folder': folder,
        'replica': report.replica_id,
        'entries': len(report.entries),
        'last_index': report.last_index,
        'verdict': verdict,
    }


def _audit(folder: Path, report: FolderReport) -> str:
    if not folder.name.startswith('dc-'):
        return 'good'
    return audit_log(report) or 'good'
