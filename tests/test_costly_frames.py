"""Processes beside peers whose frames become far larger once decoded."""

from pathlib import Path

import anyio
import pytest

from mulberryhitch.rpc.codec import (
    Call,
    decode_call,
    encode_call,
)
from mulberryhitch.rpc.messages import (
    Announcement,
    AppendRequest,
    CallHeader,
    Heartbeat,
    LogEntry,
)
from tests.costly_frames import FRAMES
from tests.limited_cell import (
    TARGETS,
    ProcessLimits,
    Target,
    address_of,
    process_of,
    running_cell,
    wait_answered,
)
from tests.process_cell import ProcessCell
from tests.process_usage import ProcessUsage
from tests.raw_client import RawConnection

# Those of the smallest VM.
LIMITS = ProcessLimits(memory_megabytes=160, descriptors=1024)
MOST_BYTES = 160_000_000
SENDERS = 2
SEND_SECONDS = 60
ANSWER_SECONDS = 30
# Those of two services on each of 1,000 machines.
SERVERS = 2000


async def _send(cell: ProcessCell, target: Target, frame: bytes) -> None:
    """Sends a frame and reads until the connection ends."""
    connection = await RawConnection.open(*address_of(cell, target))
    try:
        await connection.send(len(frame).to_bytes(4, 'big') + frame)
        await connection.wait_closed_by_peer()
    except OSError:
        return
    finally:
        connection.close()


@pytest.mark.parametrize('name', ['entry internal', 'scheduler internal'])
def test_costly_frames_stay_within_the_memory_of_the_smallest_vm(
    tmp_path: Path, name: str
) -> None:
    target = TARGETS[name]

    async def play(cell: ProcessCell, kind: str) -> str:
        process = process_of(cell, target)
        assert process.popen is not None
        usage = ProcessUsage(process.popen.pid)
        usage.clear_peak()
        frame = FRAMES[kind]()
        with anyio.move_on_after(SEND_SECONDS):
            async with anyio.create_task_group() as senders:
                for _ in range(SENDERS):
                    senders.start_soon(_send, cell, target, frame)
        answered = await wait_answered(
            (process.vm, cell.port + target.port_offset), target, ANSWER_SECONDS
        )
        assert process.popen.poll() is None, kind
        result = f'{kind}: {usage.peak_bytes / 1e6:.1f} MB, answered {answered}'
        print(result)
        is_kept = answered and usage.peak_bytes <= MOST_BYTES
        return '' if is_kept else result

    async def main() -> list[str]:
        async with running_cell(tmp_path, LIMITS) as cell:
            return [await play(cell, kind) for kind in FRAMES]

    assert not list(filter(None, anyio.run(main)))


def test_the_largest_calls_of_a_cell_are_decoded() -> None:
    """Guards against a limit that processes of the cell meet."""
    announcement = Announcement(
        's', 's', 'd', 'a', 'ready', 1, 0, 0, '', 0, 0, 0, 0
    )
    heartbeat = Heartbeat(
        'm',
        0,
        'entry',
        'd',
        'v',
        'r',
        'h',
        'ready',
        0,
        [],
        [announcement] * SERVERS,
    )
    entry = LogEntry(0, 0, 'changes', b'')
    append = AppendRequest('g', 't', 0, 'l', 0, 0, 0, [entry] * 256)
    for method, request in (('exchange', heartbeat), ('append', append)):
        call = Call(method, 1, CallHeader('c', 1), request)
        assert decode_call(encode_call(call)) == call
