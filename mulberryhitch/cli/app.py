"""The commands of ``mulberryhitch``."""

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
from mulberryhitch.cli.client import Answer, Target, call
from mulberryhitch.cli.explain import Explanation, read_logs
from mulberryhitch.cli.output import show_json, show_table
from mulberryhitch.errors import InvalidInputError
from mulberryhitch.exit_status import ExitStatus
from mulberryhitch.workloads.model import Kind, Urgency

app = typer.Typer(
    name='mulberryhitch',
    help='Submits workloads, sends requests, and runs a cell.',
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
    str, typer.Option(help='An entry, as IP:PORT.')
]
TokenOption: TypeAlias = Annotated[str, typer.Option(help='A bearer token.')]
TenantOption: TypeAlias = Annotated[str, typer.Option(help='The tenant.')]
_ENDED = frozenset(('completed', 'failed', 'cancelled', 'unknown'))
_POLL_SECONDS = 20


@app.callback()
def choose_target(
    context: typer.Context,
    entry: EntryOption = '',
    token: TokenOption = '',
    tenant: TenantOption = '',
) -> None:
    """Says whom to call, and as whom."""
    context.obj = Target.from_environment(entry, token, tenant)


@app.command()
def submit(
    context: typer.Context,
    kind: Annotated[Kind, typer.Argument(help='What kind of workload.')],
    tasks: Annotated[int, typer.Option(help='How many tasks.')] = 1,
    cores: Annotated[float, typer.Option(help='Processors a task.')] = 1,
    memory: Annotated[int, typer.Option(help='MiB of memory a task.')] = 1024,
    accelerators: Annotated[int, typer.Option(help='For each task.')] = 0,
    urgency: Annotated[Urgency, typer.Option()] = Urgency.normal,
    seconds: Annotated[float, typer.Option(help='Declared run time.')] = 0,
    restartable: Annotated[bool, typer.Option()] = False,
    checkpointable: Annotated[bool, typer.Option()] = False,
    start_within: Annotated[float, typer.Option(help='Seconds.')] = 0,
    data_centre: Annotated[list[str] | None, typer.Option()] = None,
    program: Annotated[str, typer.Option(help='For the worker.')] = '',
    key: Annotated[str, typer.Option(help='Idempotency key.')] = '',
    json_output: JsonFlag = False,
) -> None:
    """Submits a workload; a resend with the same key submits it once."""
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
    answer = _call(context, 'POST', '/v1/workloads', body, headers)
    _show(answer.content, json_output, ('id', 'data_centre'))


@app.command()
def status(
    context: typer.Context, workload_id: str, json_output: JsonFlag = False
) -> None:
    """Shows where a workload and each of its tasks stand."""
    content = _call(context, 'GET', f'/v1/workloads/{workload_id}').content
    _show_workload(content, json_output)


@app.command()
def wait(
    context: typer.Context,
    workload_id: str,
    seconds: Annotated[float, typer.Option(help='At the most.')] = 3600,
    json_output: JsonFlag = False,
) -> None:
    """Waits until a workload has ended; tells by the exit status how."""
    ends_at = time.monotonic() + seconds
    while True:
        left = max(ends_at - time.monotonic(), 0)
        step = min(round(left), _POLL_SECONDS)
        path = f'/v1/workloads/{workload_id}?wait={step}'
        content = _call(context, 'GET', path).content
        if content['state'] in _ENDED or left <= 0:
            break
        _show_progress(content)
    _show_workload(content, json_output)
    raise typer.Exit(_exit_of(content['state']))


@app.command()
def explain(
    wanted: Annotated[str, typer.Argument(help="A job's or request's id.")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(help='Logs of any processes; else standard input.'),
    ] = None,
    json_output: JsonFlag = False,
) -> None:
    """Tells from logs what became of an id, and what happened near it."""
    explanation = Explanation(wanted)
    for lines in read_logs(files or ()):
        explanation.read(lines)
    timeline = explanation.timeline()
    rows = [line.row(timeline[0].at) for line in timeline]
    if json_output:
        show_json(rows)
        return
    show_table(('seconds', 'process', 'event', 'told'), rows)
    if explanation.unread:
        typer.echo(f'{explanation.unread} lines are no log lines', err=True)


@app.command()
def cancel(
    context: typer.Context, workload_id: str, json_output: JsonFlag = False
) -> None:
    """Cancels a workload."""
    answer = _call(context, 'DELETE', f'/v1/workloads/{workload_id}')
    _show(answer.content, json_output, ('id', 'cancelled'))


@app.command('list')
def list_workloads(
    context: typer.Context,
    after: Annotated[str, typer.Option(help='Begin after this id.')] = '',
    limit: Annotated[int, typer.Option()] = 100,
    json_output: JsonFlag = False,
) -> None:
    """Lists the tenant's workloads."""
    query = urlencode(
        {'after': after, 'limit': limit, 'tenant': context.obj.tenant}
    )
    content = _call(context, 'GET', f'/v1/workloads?{query}').content
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
    path: Annotated[str, typer.Argument(help='With its query.')] = '/',
    method: Annotated[str, typer.Option()] = 'GET',
    data: Annotated[str, typer.Option(help='The body; @FILE reads.')] = '',
    once: Annotated[
        bool, typer.Option(help='Not idempotent: runs at most once.')
    ] = False,
    key: Annotated[str, typer.Option(help='Idempotency key.')] = '',
    deadline: Annotated[float, typer.Option(help='Seconds.')] = 30,
    json_output: JsonFlag = False,
) -> None:
    """Sends a request to a service and shows its outcome and answer."""
    headers = {'Mulberryhitch-Deadline': str(deadline)}
    if once:
        key = key or uuid.uuid4().hex
        headers['Mulberryhitch-Idempotent'] = 'false'
        print(f'idempotency key: {key}', file=sys.stderr)
    if key:
        headers['Idempotency-Key'] = key
    answer = call(
        context.obj,
        method,
        f'/v1/services/{service}/{path.lstrip("/")}',
        _read_body(data),
        headers,
    )
    outcome = answer.headers.get('mulberryhitch-outcome', 'unknown')
    if json_output:
        show_json(
            {
                'status': answer.status,
                'outcome': outcome,
                'request_id': answer.headers.get('mulberryhitch-request-id'),
                'body': answer.body.decode(errors='replace'),
            }
        )
    else:
        print(f'{answer.status} {outcome}', file=sys.stderr)
        print(answer.body.decode(errors='replace'))
    if outcome != 'completed':
        raise typer.Exit(_exit_of(outcome))


@app.command()
def drain(context: typer.Context, json_output: JsonFlag = False) -> None:
    """Lets the called VM finish what it has and take nothing new."""
    answer = _call(context, 'POST', '/v1/drain')
    _show(answer.content, json_output, ('member', 'stopping'))


@app.command()
def members(context: typer.Context, json_output: JsonFlag = False) -> None:
    """Shows our processes and the backend servers."""
    content = _call(context, 'GET', '/v1/members').content
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
    """Shows waits and answers of the called VM, by tenant and class."""
    content = _call(context, 'GET', '/v1/histograms').content
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
    """Removes a voter that will not come back from a data centre's log."""
    path = f'/v1/voters/{data_centre}/{replica_id.replace("#", "%23")}'
    answer = _call(context, 'DELETE', path)
    _show(answer.content, json_output, ('removed',))


@app.command()
def version() -> None:
    """Shows the version of this program."""
    print(__version__)


@config.command('show')
def config_show(
    context: typer.Context,
    number: Annotated[int, typer.Option('--version')] = 0,
) -> None:
    """Shows the configuration in force, or an older version."""
    path = f'/v1/configuration?version={number}'
    show_json(_call(context, 'GET', path).content)


@config.command('apply')
def config_apply(
    context: typer.Context,
    files: Annotated[
        list[Path],
        typer.Argument(help='The base, then DATA_CENTRE.json overlays.'),
    ],
    on: Annotated[
        int, typer.Option(help='The version that this is based on.')
    ] = -1,
    key: Annotated[str, typer.Option(help='Idempotency key.')] = '',
    json_output: JsonFlag = False,
) -> None:
    """Puts a base and its overlays in force, unless another came first."""
    document = {
        'base': _read_json(files[0]),
        'data_centres': {path.stem: _read_json(path) for path in files[1:]},
    }
    if on < 0:
        on = _call(context, 'GET', '/v1/configuration').content['version']
    headers = {
        'If-Match': f'"{on}"',
        'Idempotency-Key': key or uuid.uuid4().hex,
    }
    answer = _call(context, 'PUT', '/v1/configuration', document, headers)
    _show(answer.content, json_output, ('version',))


@config.command('status')
def config_status(
    context: typer.Context, json_output: JsonFlag = False
) -> None:
    """Shows the version in force at each VM, and who is behind."""
    rows = _call(context, 'GET', '/v1/members').content['members']
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
    newer: Annotated[int, typer.Argument(help='The newest if left out.')] = 0,
) -> None:
    """Shows what changed from one version to another."""

    lines = difflib.unified_diff(
        _version_lines(context, older), _version_lines(context, newer)
    )
    for line in lines:
        print(line.rstrip('\n'))


def _version_lines(context: typer.Context, number: int) -> list[str]:
    path = f'/v1/configuration?version={number}'
    content = _call(context, 'GET', path).content
    text = json.dumps(content['configuration'], indent=2)
    return text.splitlines(keepends=True)


def _call(
    context: typer.Context,
    method: str,
    path: str,
    content: Any = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    body = b'' if content is None else json.dumps(content).encode()
    return call(context.obj, method, path, body, headers)


def _show(content: Any, as_json: bool, columns: tuple[str, ...]) -> None:
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
    ended = sum(state in _ENDED for state in states)
    print(
        f'{ended} of {len(states)} ended, {states.count("leased")} running',
        file=sys.stderr,
    )


def _exit_of(state: str) -> int:
    statuses = {
        'completed': ExitStatus.ok,
        'failed': ExitStatus.failed,
        'cancelled': ExitStatus.not_run,
        'not_run': ExitStatus.not_run,
    }
    return int(statuses.get(state, ExitStatus.unknown))


def _read_body(data: str) -> bytes:
    if data.startswith('@'):
        return _read(Path(data[1:]))
    return data.encode()


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise InvalidInputError(str(error), where=str(path)) from error


def _read_json(path: Path) -> Any:
    try:
        return json.loads(_read(path))
    except ValueError as error:
        raise InvalidInputError(f'no JSON: {error}', where=str(path)) from error
