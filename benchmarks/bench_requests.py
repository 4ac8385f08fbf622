"""Request throughput and latency: ``python -m benchmarks.bench_requests``.

Measures requests per second and latency through an entry and directly to a
backend server; then the latency of a tenant with few requests while another
sends ten times the capacity.
"""

import sys

import anyio
import httpcore
import orjson

from benchmarks.helpers import Client, cpu_seconds, local_cell, quantile

PATH = '/v1/services/returns/x'


async def closed_loop(
    client: Client, path: str, callers: int, seconds: float
) -> list[float]:
    """Runs callers that each wait for a response before the next request."""
    latencies: list[float] = []
    deadline = anyio.current_time() + seconds

    async def send_repeatedly() -> None:
        while anyio.current_time() < deadline:
            latencies.append((await client.call('GET', path))[3])

    async with anyio.create_task_group() as task_group:
        for _ in range(callers):
            task_group.start_soon(send_repeatedly)
    return latencies


async def open_loop(
    client: Client, path: str, rate: float, seconds: float
) -> tuple[list[float], int]:
    """Sends requests at a fixed rate, in requests per second.

    Returns:
        Latencies of the completed requests, and the number of the others.
    """
    latencies: list[float] = []
    lost: list[int] = []

    async def send() -> None:
        try:
            status, outcome, _, latency = await client.call(
                'GET', path, None, [('Mulberryhitch-Deadline', '12')]
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            lost.append(0)
            return
        if status == 200 and outcome == 'completed':
            latencies.append(latency)
        else:
            lost.append(status)

    async with anyio.create_task_group() as task_group:
        started_at = anyio.current_time()
        sent = 0
        while sent < rate * seconds:
            task_group.start_soon(send)
            sent += 1
            delay = started_at + sent / rate - anyio.current_time()
            await anyio.sleep(max(delay, 0))
    return latencies, len(lost)


async def measure_overhead(port: int, pid: int) -> None:
    """Prints requests per second, latency and processor time."""
    entry = Client(port, 'demo-north')
    direct = Client(port + 12, 'none')
    print('callers  way      requests/s  median ms   p99 ms')
    for callers in (1, 8):
        for name, client, path in (
            ('direct', direct, '/x'),
            ('entry', entry, PATH),
        ):
            cpu_seconds_before = cpu_seconds(pid)
            latencies = await closed_loop(client, path, callers, 4)
            cpu_microseconds = (
                (cpu_seconds(pid) - cpu_seconds_before) / len(latencies) * 1e6
            )
            print(
                f'{callers:7}  {name:7}{len(latencies) / 4:12.0f}'
                f'{quantile(latencies, 0.5) * 1000:11.2f}'
                f'{quantile(latencies, 0.99) * 1000:9.2f}'
                f'   {cpu_microseconds:.0f} us of processor time a request, '
                'all parts'
            )


async def set_queue_order(port: int, order: str) -> None:
    """Changes the order of the request queue."""
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


async def measure_flood(port: int) -> None:
    """Prints latencies of one tenant, without and with a flood by another."""
    slow_path = f'{PATH}?sleep=2'
    capacity = 3 * 8 / 2
    light_client = Client(port, 'demo-south')
    heavy_client = Client(port, 'demo-north', 4000)
    print('\norder  tenant south   completed  lost  median s   p99 s')
    for order in ('fair', 'fifo'):
        await set_queue_order(port, order)
        for phase, load_factor in (('calm', 0.0), ('flood x10', 10.0)):
            async with anyio.create_task_group() as task_group:
                if load_factor:
                    task_group.start_soon(
                        open_loop,
                        heavy_client,
                        slow_path,
                        capacity * load_factor,
                        15,
                    )
                    await anyio.sleep(4)
                latencies, lost = await open_loop(
                    light_client, slow_path, 2, 15
                )
                print(
                    f'{order:6} {phase:14}{len(latencies):10}{lost:6}'
                    f'{quantile(latencies, 0.5):10.3f}'
                    f'{quantile(latencies, 0.99):8.3f}'
                )
        await anyio.sleep(3)


async def run_benchmark(port: int, pid: int) -> None:
    """Runs all measurements."""
    await measure_overhead(port, pid)
    await measure_flood(port)


def main() -> int:
    """Starts a cell and measures it."""
    with local_cell(workers=2, servers=3) as (port, process):
        anyio.run(run_benchmark, port, process.pid)
    return 0


if __name__ == '__main__':
    sys.exit(main())
