"""The request path: ``python -m benchmarks.bench_requests``.

Requests a second and latency through one entry and directly to a backend
server, in one run; then a small tenant's waits while another floods.
"""

import sys

import anyio
import httpcore
import orjson

from benchmarks.program import Client, cpu_seconds, local_cell, quantile

PATH = '/v1/services/returns/x'


async def closed_loop(
    client: Client, path: str, callers: int, seconds: float
) -> list[float]:
    """So many callers, each sending its next when it has its answer."""
    times: list[float] = []
    ends_at = anyio.current_time() + seconds

    async def caller() -> None:
        while anyio.current_time() < ends_at:
            times.append((await client.call('GET', path))[3])

    async with anyio.create_task_group() as tasks:
        for _ in range(callers):
            tasks.start_soon(caller)
    return times


async def open_loop(
    client: Client, path: str, rate: float, seconds: float
) -> tuple[list[float], int]:
    """Sends at a rate; the times of what completed, and what did not."""
    times: list[float] = []
    lost: list[int] = []

    async def send() -> None:
        try:
            status, outcome, _, took = await client.call(
                'GET', path, None, [('Mulberryhitch-Deadline', '12')]
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            lost.append(0)
            return
        if status == 200 and outcome == 'completed':
            times.append(took)
        else:
            lost.append(status)

    async with anyio.create_task_group() as tasks:
        began = anyio.current_time()
        sent = 0
        while sent < rate * seconds:
            tasks.start_soon(send)
            sent += 1
            pause = began + sent / rate - anyio.current_time()
            await anyio.sleep(max(pause, 0))
    return times, len(lost)


async def overhead(port: int, pid: int) -> None:
    """Prints requests a second, latency and processor time."""
    entry = Client(port, 'demo-north')
    direct = Client(port + 12, 'none')
    print('callers  way      requests/s  median ms   p99 ms')
    for callers in (1, 8):
        for name, client, path in (
            ('direct', direct, '/x'),
            ('entry', entry, PATH),
        ):
            before = cpu_seconds(pid)
            times = await closed_loop(client, path, callers, 4)
            spent = (cpu_seconds(pid) - before) / len(times) * 1e6
            print(
                f'{callers:7}  {name:7}{len(times) / 4:12.0f}'
                f'{quantile(times, 0.5) * 1000:11.2f}'
                f'{quantile(times, 0.99) * 1000:9.2f}'
                f'   {spent:.0f} us of processor time a request, all parts'
            )


async def set_order(port: int, order: str) -> None:
    """Puts the order of the queue in force."""
    operator = Client(port, 'demo-operator')
    _, _, body, _ = await operator.call('GET', '/v1/configuration')
    content = orjson.loads(body)
    document = content['configuration']
    document['base']['services']['returns'] = {'order': order}
    status, _, body, _ = await operator.call(
        'PUT',
        '/v1/configuration',
        document,
        [('If-Match', str(content['version']))],
    )
    assert status == 200, body
    await anyio.sleep(1)


async def flood(port: int) -> None:
    """Prints a small tenant's waits, calm and while another floods."""
    slow = f'{PATH}?sleep=2'
    capacity = 3 * 8 / 2
    small = Client(port, 'demo-south')
    big = Client(port, 'demo-north', 4000)
    print('\norder  tenant south   completed  lost  median s   p99 s')
    for order in ('fair', 'fifo'):
        await set_order(port, order)
        for label, factor in (('calm', 0.0), ('flood x10', 10.0)):
            async with anyio.create_task_group() as tasks:
                if factor:
                    tasks.start_soon(
                        open_loop, big, slow, capacity * factor, 15
                    )
                    await anyio.sleep(4)
                times, lost = await open_loop(small, slow, 2, 15)
                print(
                    f'{order:6} {label:14}{len(times):10}{lost:6}'
                    f'{quantile(times, 0.5):10.3f}{quantile(times, 0.99):8.3f}'
                )
        await anyio.sleep(3)


async def measure(port: int, pid: int) -> None:
    """All of it."""
    await overhead(port, pid)
    await flood(port)


def main() -> int:
    """Starts a cell and measures it."""
    with local_cell(workers=2, servers=3) as (port, process):
        anyio.run(measure, port, process.pid)
    return 0


if __name__ == '__main__':
    sys.exit(main())
