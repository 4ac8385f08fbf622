"""The public interface: OpenAPI, IDL, error codes and command line."""

import anyio
from typer.testing import CliRunner

from mulberryhitch.cli.app import app
from mulberryhitch.errors import error_types
from mulberryhitch.exit_status import ExitStatus, exit_status_of
from mulberryhitch.http.openapi import description
from mulberryhitch.http.routes import all_routes
from mulberryhitch.rpc import codec, messages
from tests.local_cell import running_cell


def test_the_description_names_every_route_and_failure() -> None:
    described = description()
    paths = {route.path.replace(':path}', '}') for route in all_routes()}
    assert set(described['paths']) == paths
    problem = described['components']['schemas']['Problem']
    codes = problem['properties']['code']['enum']
    assert codes == sorted({error_type.code for error_type in error_types()})


def test_every_failure_has_advice_and_an_exit_status() -> None:
    for error_type in error_types():
        error = error_type('what', where='where')
        assert error.advice and error.problem.code == error_type.code
        assert exit_status_of(error) is not ExitStatus.ok


def test_messages_and_idl_have_the_same_fields() -> None:
    for method in codec.methods():
        for data_class in codec._message_types(method)[2:]:
            struct = getattr(codec._idl, data_class.__name__)
            fields = [spec[1] for spec in struct.thrift_spec.values()]
            assert list(data_class.__dataclass_fields__) == fields
    assert messages.Heartbeat.__name__ == 'Heartbeat'


def test_the_command_line_reports_its_results(tmp_path) -> None:
    async def main() -> None:
        async with running_cell(tmp_path, 2, 1) as callers:
            port = callers['operator'].port
            common = ['--entry', f'127.0.0.1:{port}', '--tenant', 'north']

            async def run(*words: str):
                return await anyio.to_thread.run_sync(
                    lambda: CliRunner().invoke(app, [*common, *words])
                )

            submitted = await run(
                'submit', 'batch', '--seconds', '0.2', '--tasks', '2'
            )
            workload_id = submitted.stdout.splitlines()[1].split()[0]
            waited = await run('wait', workload_id)
            assert (waited.exit_code, 'completed' in waited.stdout) == (0, True)
            listed = await run('list')
            assert workload_id in listed.stdout
            refused = await run('submit', 'batch', '--cores', '9999')
            assert refused.exception.code == 'impossible'
            applied = await run('config', 'apply', '/dev/null')
            assert applied.exception.code == 'invalid_input'
            shown = await run('members')
            assert 'entry@vm-1' in shown.stdout
            histograms = await run('histograms')
            assert 'task_wait' in histograms.stdout
            assert (await run('config', 'diff', '1', '1')).exit_code == 0
            sent = await run('send', 'returns', '/x', '--json')
            assert '"outcome": "completed"' in sent.stdout

    anyio.run(main)


def test_one_of_several_concurrent_changes_wins_and_its_resend_succeeds(
    tmp_path,
) -> None:
    async def main() -> None:
        async with running_cell(tmp_path, 1, 1) as callers:
            operator = callers['operator']
            _, _, content = await operator.call('GET', '/v1/configuration')
            document = content['configuration']
            responses = []

            async def change(key: str) -> None:
                headers = {'If-Match': '"1"', 'Idempotency-Key': key}
                responses.append(
                    await operator.call(
                        'PUT', '/v1/configuration', document, headers
                    )
                )

            async with anyio.create_task_group() as tasks:
                for number in range(4):
                    tasks.start_soon(change, f'key-{number}')
            succeeded = [
                response for response in responses if response[0] == 200
            ]
            conflicted = [
                response for response in responses if response[0] == 412
            ]
            assert (len(succeeded), len(conflicted)) == (1, 3)
            assert conflicted[0][2]['code'] == 'version_conflict'
            for number in range(4):
                await change(f'key-{number}')
            resent = [
                response for response in responses[4:] if response[0] == 200
            ]
            assert [response[2]['version'] for response in resent] == [2]

    anyio.run(main)
