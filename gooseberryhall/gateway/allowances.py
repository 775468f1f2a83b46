"""Allowances of this node by service and model; see `admission/share.py`."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ..admission.share import Allowance, Supply
from .observed import Kind


@dataclass(slots=True)
class Allowances:
    """Places that this node may use now, by service and model."""

    rng: random.Random
    # Returns the number of live nodes, including this one.
    node_count: Callable[[], int]
    _by_kind: dict[Kind, Allowance] = field(default_factory=dict)

    def delay_s(self, kind: Kind, supply: Supply, now_s: float) -> float | None:
        """Return the time until this node may use a place; 0 if it may now.

        None if there will be none with this supply. A node that is alone knows the load
        of all servers.
        """
        nodes = self.node_count()
        allowance = self._by_kind.get(kind)
        if allowance is None:
            allowance = Allowance(self.rng.random(), now_s)
            self._by_kind[kind] = allowance
        node_places = supply.node_places(nodes)
        allowance.refill(node_places, now_s)
        if nodes == 1 or not supply.is_scarce(nodes):
            return 0.0
        return allowance.delay_s(node_places)

    def snapshot(self, rng: random.Random) -> "Allowances":
        """Return a copy whose use does not change this one."""
        by_kind = {kind: replace(item) for kind, item in self._by_kind.items()}
        return Allowances(rng, self.node_count, by_kind)

    def spend(self, kind: Kind) -> None:
        """Use a place."""
        if kind in self._by_kind:
            self._by_kind[kind].spend()

    def refund(self, kind: Kind) -> None:
        """Give back the place of a request that its server rejected."""
        if kind in self._by_kind:
            self._by_kind[kind].refund()
