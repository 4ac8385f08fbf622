"""Removes files of earlier processes that nothing reads and that fill a disk."""

import shutil
import time
from pathlib import Path

_DAMAGED = '.damaged-'


def remove_unfinished_files(folder: Path) -> None:
    """Removes files that a killed process was writing beside others.

    Raises:
        OSError: A file could not be removed.
    """
    for path in folder.glob('*.aside'):
        path.unlink()


def set_aside_as_damaged(folder: Path) -> None:
    """Renames a damaged folder, without the room that it kept.

    Raises:
        OSError: The folder could not be renamed.
    """
    (folder / 'reserve').unlink(missing_ok=True)
    folder.rename(f'{folder}{_DAMAGED}{int(time.time())}')


def remove_former_damaged_folders(folder: Path) -> list[Path]:
    """Keeps the newest folder that was set aside as damaged, and no other.

    Returns:
        The folders that were removed.

    Raises:
        OSError: A folder could not be removed.
    """
    prefix = f'{folder.name}{_DAMAGED}'
    times = [
        int(path.name.removeprefix(prefix))
        for path in folder.parent.glob(f'*{_DAMAGED}*')
        if path.name.startswith(prefix)
        and path.name.removeprefix(prefix).isdecimal()
    ]
    former = [
        folder.with_name(f'{prefix}{each}') for each in sorted(times)[:-1]
    ]
    for path in former:
        shutil.rmtree(path)
    return former
