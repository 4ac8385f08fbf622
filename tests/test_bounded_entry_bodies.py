"""Bodies at an entry of the first product are bounded in bytes."""

from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from mulberryhitch.http.app import make_app
from mulberryhitch.tenants.authentication import Principal, PrincipalRole
from tests.entry_cell import EntryCell
from tests.replica_group import run_with_mock_clock

KIBIBYTE = 1024
TOKEN = (b'authorization', b'Bearer x')
DEADLINE = (b'mulberryhitch-deadline', b'10')


class Client:
    """Sends bodies to an entry without the authentication of tenants."""

    def __init__(self, cell: EntryCell) -> None:
        entry = cell.entries['entry-1'].entry
        principal = Principal(PrincipalRole.tenant, 'north')
        entry.authenticator = cast(
            'Any', SimpleNamespace(authenticate=lambda token: principal)
        )
        self._app = make_app(entry)

    async def post(
        self,
        path: str,
        size: int,
        answers: list[dict[str, Any]],
        *,
        whole: bool,
    ) -> None:
        part = {'type': 'http.request', 'body': b'x' * size}
        parts = [{**part, 'more_body': not whole}]

        async def receive() -> Any:
            if not parts:
                await anyio.sleep_forever()
            return parts.pop()

        async def send(message: Any) -> None:
            if message['type'] == 'http.response.start':
                headers = dict(message['headers'])
                answers.append({'status': message['status'], **headers})

        scope = {
            'type': 'http',
            'method': 'POST',
            'path': path,
            'raw_path': path.encode(),
            'query_string': b'',
            'headers': [TOKEN, DEADLINE],
        }
        await self._app(scope, receive, send)


@pytest.mark.parametrize(
    ('path', 'size', 'admitted'),
    [
        ('/v1/services/returns/x', 60 * KIBIBYTE, 819),
        ('/v1/workloads', 1024 * KIBIBYTE, 32),
    ],
)
def test_bodies_of_many_clients_at_once_do_not_fill_the_memory(
    path: str, size: int, admitted: int
) -> None:
    async def main() -> None:
        async with EntryCell(seed=1).running() as cell:
            await anyio.sleep(6)
            client = Client(cell)
            answers: list[dict[str, Any]] = []
            async with anyio.create_task_group() as tasks:
                for _ in range(admitted + 100):
                    tasks.start_soon(_post, client, path, size, answers)
                await anyio.sleep(1)
                assert len(answers) == 100
                for answer in answers:
                    assert answer['status'] == 503
                    assert answer[b'mulberryhitch-outcome'] == b'not_run'
                    assert answer[b'retry-after'] == b'1'
                tasks.cancel_scope.cancel()
            answers.clear()
            await client.post('/v1/services/returns/x', 10, answers, whole=True)
            assert answers[0]['status'] == 200

    run_with_mock_clock(main)


async def _post(
    client: Client, path: str, size: int, answers: list[dict[str, Any]]
) -> None:
    await client.post(path, size, answers, whole=False)
