"""Outcomes of requests."""

from enum import Enum


class Outcome(str, Enum):  # noqa: WPS600
    """Whether a request ran, as reported to its client.

    Attributes:
        completed: The request ran, and the response is complete.
        not_run: The request did not run and never will.
        unknown: The request may have run.
    """

    completed = 'completed'
    not_run = 'not_run'
    unknown = 'unknown'
