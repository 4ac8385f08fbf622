"""How the voters of a group are spread over data centres."""

from collections import Counter
from collections.abc import Iterable, Mapping


class Spread:
    """The number of voters in each data centre.

    A replica whose data centre is unknown counts as alone in its own.

    Args:
        voters: The voters that count.
        data_centres: The data centre of each replica that is known.
    """

    def __init__(
        self, voters: Iterable[str], data_centres: Mapping[str, str]
    ) -> None:
        """Counts the voters."""
        self._data_centres = data_centres
        self._counts = Counter(
            data_centres.get(voter) or voter for voter in voters
        )

    def voters_beside(self, replica_id: str) -> int:
        """Returns the number of voters in a replica's data centre."""
        return self._counts[self._data_centres.get(replica_id) or replica_id]

    def improved_by(self, learner: str) -> bool:
        """Whether a learner in place of a voter spreads the voters better."""
        most = max(self._counts.values(), default=0)
        return self.voters_beside(learner) < most - 1
