"""What became of a request."""

from enum import Enum


class Outcome(str, Enum):  # noqa: WPS600
    """The three things a caller can be told of a request.

    Attributes:
        completed: It ran, and this is its whole answer.
        not_run: It did not run and never will.
        unknown: It may have run.
    """

    completed = 'completed'
    not_run = 'not_run'
    unknown = 'unknown'
