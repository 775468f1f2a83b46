"""Choice of a server under load.

Load pattern: many nodes see the same old figures. If each chose among the groups that
look least loaded, a group that has just opened would get up to nine times the mean.
"""

import random
from collections.abc import Sequence
from itertools import accumulate

from .const import MIN_PLACES


def choose_by_places(places: Sequence[float], rng: random.Random) -> int:
    """Return the index of a candidate, drawn in proportion to its expected places."""
    bounds = list(accumulate(max(MIN_PLACES, count) for count in places))
    return rng.choices(range(len(places)), cum_weights=bounds)[0]
