"""Memory and descriptors of a process, as the kernel counts them."""

import re
from pathlib import Path

import anyio

_SAMPLE_SECONDS = 0.05
_BYTES_PER_KIBIBYTE = 1024
_CLEAR_PEAK = '5'


class ProcessUsage:
    """Samples a process until it is cancelled.

    Args:
        process_id: The process.

    Attributes:
        most_bytes: Largest resident memory seen, bytes.
        most_descriptors: Largest number of open descriptors seen.
    """

    def __init__(self, process_id: int) -> None:
        self._folder = Path('/proc') / str(process_id)
        self.most_bytes = 0
        self.most_descriptors = 0

    @property
    def resident_bytes(self) -> int:
        """Resident memory, bytes."""
        return self._status_bytes('VmRSS')

    @property
    def peak_bytes(self) -> int:
        """Largest resident memory since the peak was cleared, bytes."""
        return self._status_bytes('VmHWM')

    def clear_peak(self) -> None:
        """Sets the peak to the present resident memory."""
        (self._folder / 'clear_refs').write_text(_CLEAR_PEAK)

    def sample(self) -> None:
        """Updates the largest values."""
        self.most_bytes = max(self.most_bytes, self.resident_bytes)
        self.most_descriptors = max(
            self.most_descriptors, len(list((self._folder / 'fd').iterdir()))
        )

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            self.sample()
            await anyio.sleep(_SAMPLE_SECONDS)

    def _status_bytes(self, name: str) -> int:
        status = (self._folder / 'status').read_text()
        size = re.search(rf'{name}:\s+(\d+) kB', status)
        assert size is not None, 'the process has ended'
        return int(size[1]) * _BYTES_PER_KIBIBYTE
