"""Commands of ``mulberryhitch``."""

import difflib
import json
import sys
import time
import uuid
from pathlib import Path
from typing import Annotated, Any, TypeAlias
from urllib.parse import urlencode

import typer

from mulberryhitch import __version__
from mulberryhitch.cli.client import Response, Target, send_request
from mulberryhitch.cli.explain import TimelineBuilder, read_logs
from mulberryhitch.cli.output import show_json, show_table
from mulberryhitch.errors import InvalidInputError
from mulberryhitch.exit_status import ExitStatus
from mulberryhitch.workloads.model import Kind, Urgency

app = typer.Typer(
    name='mulberryhitch',
    help='Submits workloads, sends requests, and operates a cell.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
config = typer.Typer(
    help='Reads and changes the configuration.', no_args_is_help=True
)
app.add_typer(config, name='config')

JsonFlag: TypeAlias = Annotated[
    bool, typer.Option('--json', help='Print JSON for programs.')
]
EntryOption: TypeAlias = Annotated[
    str, typer.Option(help='Address of an entry, as IP:PORT.')
]
TokenOption: TypeAlias = Annotated[str, typer.Option(help='Bearer token.')]
TenantOption: TypeAlias = Annotated[
    str, typer.Option(help='Tenant to act for.')
]
_TERMINAL_STATES = frozenset(('completed', 'failed', 'cancelled', 'unknown'))
_MAX_POLL_SECONDS = 20


@app.callback()
def set_target(
    context: typer.Context,
    entry: EntryOption = '',
    token: TokenOption = '',
    tenant: TenantOption = '',
) -> None:
    """Sets the entry to call, the token and the tenant."""
    context.obj = Target.from_environment(entry, token, tenant)


@app.command()
def submit(
    context: typer.Context,
    kind: Annotated[Kind, typer.Argument(help='Kind of workload.')],
    tasks: Annotated[int, typer.Option(help='Number of tasks.')] = 1,
    cores: Annotated[float, typer.Option(help='Processors per task.')] = 1,
    memory: Annotated[
        int, typer.Option(help='Memory per task, in MiB.')
    ] = 1024,
    accelerators: Annotated[
        int, typer.Option(help='Accelerators per task.')
    ] = 0,
    urgency: Annotated[Urgency, typer.Option()] = Urgency.normal,
    seconds: Annotated[
        float, typer.Option(help='Declared run time in seconds.')
    ] = 0,
    restartable: Annotated[bool, typer.Option()] = False,
    checkpointable: Annotated[bool, typer.Option()] = False,
    start_within: Annotated[
        float,
        typer.Option(help='Seconds until unstarted tasks are cancelled.'),
    ] = 0,
    data_centre: Annotated[list[str] | None, typer.Option()] = None,
    program: Annotated[
        str, typer.Option(help='Program that the worker runs.')
    ] = '',
    key: Annotated[str, typer.Option(help='Idempotency key.')] = '',
    json_output: JsonFlag = False,
) -> None:
    """Submits a workload; retries with the same key submit it once."""
    body = {
        'kind': kind.value,
        'task_count': tasks,
        'size': {
            'millicores': round(cores * 1000),
            'memory_mebibytes': memory,
            'accelerators': accelerators,
        },
        'urgency': urgency.value,
        'run_seconds': seconds,
        'restartable': restartable,
        'checkpointable': checkpointable,
        'start_within_seconds': start_within,
        'data_centres': data_centre or [],
        'program': program,
    }
    headers = {'Idempotency-Key': key} if key else {}
    response = _send_json(context, 'POST', '/v1/workloads', body, headers)
    _show_result(response.content, json_output, ('id', 'data_centre'))


@app.command()
def status(
    context: typer.Context, workload_id: str, json_output: JsonFlag = False
) -> None:
    """Shows the state of a workload and of each of its tasks."""
    content = _send_json(context, 'GET', f'/v1/workloads/{workload_id}').content
    _show_workload(content, json_output)


@app.command()
def wait(
    context: typer.Context,
    workload_id: str,
    seconds: Annotated[
        float, typer.Option(help='Maximum wait in seconds.')
    ] = 3600,
    json_output: JsonFlag = False,
) -> None:
    """Waits until a workload ends; the exit status shows its outcome."""
    deadline = time.monotonic() + seconds
    while True:
        remaining_seconds = max(deadline - time.monotonic(), 0)
        poll_seconds = min(round(remaining_seconds), _MAX_POLL_SECONDS)
        path = f'/v1/workloads/{workload_id}?wait={poll_seconds}'
        content = _send_json(context, 'GET', path).content
        if content['state'] in _TERMINAL_STATES or remaining_seconds <= 0:
            break
        _show_progress(content)
    _show_workload(content, json_output)
    raise typer.Exit(_exit_status(content['state']))


@app.command()
def explain(
    wanted: Annotated[
        str, typer.Argument(help='Identifier of a job or request.')
    ],
    files: Annotated[
        list[Path] | None,
        typer.Argument(help='Log files; standard input if omitted.'),
    ] = None,
    json_output: JsonFlag = False,
) -> None:
    """Shows the log events of an identifier and events near them."""
    builder = TimelineBuilder(wanted)
    for lines in read_logs(files or ()):
        builder.add_lines(lines)
    timeline = builder.build()
    rows = [line.row(timeline[0].timestamp) for line in timeline]
    if json_output:
        show_json(rows)
        return
    show_table(('seconds', 'process', 'event', 'told'), rows)
    if builder.malformed_count:
        typer.echo(
            f'{builder.malformed_count} lines are not log lines', err=True
        )


@app.command()
def cancel(
    context: typer.Context, workload_id: str, json_output: JsonFlag = False
) -> None:
    """Cancels a workload."""
    response = _send_json(context, 'DELETE', f'/v1/workloads/{workload_id}')
    _show_result(response.content, json_output, ('id', 'cancelled'))


@app.command('list')
def list_workloads(
    context: typer.Context,
    after: Annotated[
        str, typer.Option(help='Start after this identifier.')
    ] = '',
    limit: Annotated[int, typer.Option()] = 100,
    json_output: JsonFlag = False,
) -> None:
    """Lists the tenant's workloads."""
    query = urlencode(
        {'after': after, 'limit': limit, 'tenant': context.obj.tenant}
    )
    content = _send_json(context, 'GET', f'/v1/workloads?{query}').content
    if json_output:
        show_json(content)
        return
    columns = ('workload_id', 'kind', 'urgency', 'tasks', 'open_tasks')
    show_table(columns, content['workloads'])
    if content['next']:
        print(f'more: --after {content["next"]}')


@app.command()
def send(
    context: typer.Context,
    service: str,
    path: Annotated[str, typer.Argument(help='Path with query.')] = '/',
    method: Annotated[str, typer.Option()] = 'GET',
    data: Annotated[
        str, typer.Option(help='Request body; @FILE reads a file.')
    ] = '',
    once: Annotated[
        bool, typer.Option(help='Not idempotent: runs at most once.')
    ] = False,
    key: Annotated[str, typer.Option(help='Idempotency key.')] = '',
    deadline: Annotated[
        float, typer.Option(help='Seconds until the deadline.')
    ] = 30,
    json_output: JsonFlag = False,
) -> None:
    """Sends a request to a service; shows its outcome and response."""
    headers = {'Mulberryhitch-Deadline': str(deadline)}
    if once:
        key = key or uuid.uuid4().hex
        headers['Mulberryhitch-Idempotent'] = 'false'
        print(f'idempotency key: {key}', file=sys.stderr)
    if key:
        headers['Idempotency-Key'] = key
    response = send_request(
        context.obj,
        method,
        f'/v1/services/{service}/{path.lstrip("/")}',
        _read_body(data),
        headers,
    )
    outcome = response.headers.get('mulberryhitch-outcome', 'unknown')
    if json_output:
        show_json(
            {
                'status': response.status,
                'outcome': outcome,
                'request_id': response.headers.get('mulberryhitch-request-id'),
                'body': response.body.decode(errors='replace'),
            }
        )
    else:
        print(f'{response.status} {outcome}', file=sys.stderr)
        print(response.body.decode(errors='replace'))
    if outcome != 'completed':
        raise typer.Exit(_exit_status(outcome))


@app.command()
def drain(context: typer.Context, json_output: JsonFlag = False) -> None:
    """Drains the called VM's entry: it completes requests, rejects new ones."""
    response = _send_json(context, 'POST', '/v1/drain')
    _show_result(response.content, json_output, ('member', 'stopping'))


@app.command()
def members(context: typer.Context, json_output: JsonFlag = False) -> None:
    """Shows the members of the cell and the backend servers."""
    content = _send_json(context, 'GET', '/v1/members').content
    if json_output:
        show_json(content)
        return
    show_table(
        ('member', 'data_centre', 'state', 'configuration_version', 'leads'),
        content['members'],
    )
    print()
    show_table(
        ('backend_server', 'service', 'data_centre', 'state', 'owner'),
        content['backend_servers'],
    )


@app.command()
def histograms(context: typer.Context, json_output: JsonFlag = False) -> None:
    """Shows wait and total times of the called VM by tenant and label."""
    content = _send_json(context, 'GET', '/v1/histograms').content
    columns = ('name', 'tenant', 'label', 'count', 'median', 'p99', 'worst')
    if json_output:
        show_json(content)
    else:
        show_table(columns, content['histograms'])


@app.command('replace-voter')
def replace_voter(
    context: typer.Context,
    data_centre: str,
    replica_id: str,
    json_output: JsonFlag = False,
) -> None:
    """Removes a permanently failed voter from a data centre's log."""
    path = f'/v1/voters/{data_centre}/{replica_id.replace("#", "%23")}'
    response = _send_json(context, 'DELETE', path)
    _show_result(response.content, json_output, ('removed',))


@app.command()
def version() -> None:
    """Shows the version of this program."""
    print(__version__)


@config.command('show')
def config_show(
    context: typer.Context,
    number: Annotated[int, typer.Option('--version')] = 0,
) -> None:
    """Shows the current configuration, or an older version."""
    path = f'/v1/configuration?version={number}'
    show_json(_send_json(context, 'GET', path).content)


@config.command('apply')
def config_apply(
    context: typer.Context,
    files: Annotated[
        list[Path],
        typer.Argument(help='Base file, then DATA_CENTRE.json overlays.'),
    ],
    on: Annotated[
        int, typer.Option(help='Version that the change is based on.')
    ] = -1,
    key: Annotated[str, typer.Option(help='Idempotency key.')] = '',
    json_output: JsonFlag = False,
) -> None:
    """Replaces the configuration unless it has changed since ``--on``."""
    document = {
        'base': _read_json(files[0]),
        'data_centres': {path.stem: _read_json(path) for path in files[1:]},
    }
    if on < 0:
        on = _send_json(context, 'GET', '/v1/configuration').content['version']
    headers = {
        'If-Match': f'"{on}"',
        'Idempotency-Key': key or uuid.uuid4().hex,
    }
    response = _send_json(
        context, 'PUT', '/v1/configuration', document, headers
    )
    _show_result(response.content, json_output, ('version',))


@config.command('status')
def config_status(
    context: typer.Context, json_output: JsonFlag = False
) -> None:
    """Shows the version that each member uses, and how far it is behind."""
    rows = _send_json(context, 'GET', '/v1/members').content['members']
    newest = max(row['configuration_version'] for row in rows)
    for row in rows:
        behind = newest - row['configuration_version']
        row['behind'] = f'by {behind}' if behind else ''
    if json_output:
        show_json(rows)
        return
    columns = ('member', 'state', 'configuration_version', 'behind')
    show_table(columns, rows)


@config.command('diff')
def config_diff(
    context: typer.Context,
    older: int,
    newer: Annotated[int, typer.Argument(help='The latest if omitted.')] = 0,
) -> None:
    """Shows the differences between two versions."""

    lines = difflib.unified_diff(
        _version_lines(context, older), _version_lines(context, newer)
    )
    for line in lines:
        print(line.rstrip('\n'))


def _version_lines(context: typer.Context, number: int) -> list[str]:
    path = f'/v1/configuration?version={number}'
    content = _send_json(context, 'GET', path).content
    text = json.dumps(content['configuration'], indent=2)
    return text.splitlines(keepends=True)


def _send_json(
    context: typer.Context,
    method: str,
    path: str,
    content: Any = None,
    headers: dict[str, str] | None = None,
) -> Response:
    body = b'' if content is None else json.dumps(content).encode()
    return send_request(context.obj, method, path, body, headers)


def _show_result(content: Any, as_json: bool, columns: tuple[str, ...]) -> None:
    if as_json:
        show_json(content)
    else:
        show_table(columns, [content])


def _show_workload(content: Any, as_json: bool) -> None:
    if as_json:
        show_json(content)
        return
    print(f'{content["id"]}: {content["state"]}')
    if content['waiting_reason']:
        print(f'waits: {content["waiting_reason"]}')
    columns = ('task', 'state', 'attempt', 'worker', 'reason')
    show_table(columns, content['tasks'])


def _show_progress(content: Any) -> None:
    states = [task['state'] for task in content['tasks']]
    ended = sum(state in _TERMINAL_STATES for state in states)
    print(
        f'{ended} of {len(states)} ended, {states.count("leased")} running',
        file=sys.stderr,
    )


def _exit_status(state: str) -> int:
    statuses = {
        'completed': ExitStatus.ok,
        'failed': ExitStatus.failed,
        'cancelled': ExitStatus.not_run,
        'not_run': ExitStatus.not_run,
    }
    return int(statuses.get(state, ExitStatus.unknown))


def _read_body(data: str) -> bytes:
    if data.startswith('@'):
        return _read_file(Path(data[1:]))
    return data.encode()


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise InvalidInputError(str(error), where=str(path)) from error


def _read_json(path: Path) -> Any:
    try:
        return json.loads(_read_file(path))
    except ValueError as error:
        raise InvalidInputError(
            f'invalid JSON: {error}', where=str(path)
        ) from error
