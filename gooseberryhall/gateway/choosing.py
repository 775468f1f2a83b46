"""Chooses servers for requests that may wait."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..admission.const import FIGURES_AGE_S
from ..admission.estimate import SlotTimes, expected_wait_s
from ..fleet.models import BackendServer
from .allowances import Allowances
from .context import RequestContext
from .placement import Choice, Outlook, measure_supply

if TYPE_CHECKING:
    from .state import GatewayState


@dataclass(slots=True)
class ServerChooser:
    """Chooses servers within the part of the places that this node may use."""

    state: "GatewayState"
    allowances: Allowances

    def choose(self, ctx: RequestContext, now_s: float) -> Choice:
        """Choose a server for a request now."""
        candidates = self.state.candidates(ctx, now_s)
        chosen = self.state.choose_from(ctx, candidates, now_s)
        if chosen is None:
            return Choice()
        # Figures that are older than a request takes a slot say little about places.
        if self.expected_times(ctx).slot_s <= FIGURES_AGE_S:
            return Choice(chosen)
        supply = measure_supply(candidates)
        if supply is None:
            return Choice(chosen)
        supply = supply.scale(self.state.sampling_factor(ctx))
        delay_s = self.allowances.delay_s(ctx.kind, supply, now_s)
        if delay_s != 0.0 and ctx.time_left_s(now_s) < math.inf:
            return Choice(delay_s=delay_s)
        self.allowances.spend(ctx.kind)
        return Choice(chosen)

    def find_server(self, choice: Choice) -> BackendServer | None:
        """Return the server that was chosen."""
        chosen = choice.candidate
        return self.state.servers().get(chosen.server_id) if chosen else None

    def outlook(self, ctx: RequestContext, now_s: float) -> Outlook:
        """Return whether servers may take a request, and the wait for a slot there."""
        candidates = self.state.candidates(ctx, now_s)
        if candidates:
            slot_s = self.expected_times(ctx).slot_s
            waits_s = [
                expected_wait_s(item.in_flight, item.slots, slot_s)
                for item in candidates
            ]
            return Outlook(usable=True, wait_s=min(waits_s))
        if self._is_unservable(ctx):
            return Outlook(usable=False, wait_s=math.inf)
        pause_s = self.state.soonest_return_s(ctx, now_s)
        return Outlook(usable=False, wait_s=pause_s or 0.0)

    def _is_unservable(self, ctx: RequestContext) -> bool:
        """Return whether waiting is in vain for a request without candidates."""
        if self.state.is_grouped(ctx.service):
            # The model is not configured, so no group will serve it.
            return ctx.model is not None and ctx.kind[1] is None
        return bool(ctx.excluded_servers)

    def expected_times(self, ctx: RequestContext) -> SlotTimes:
        """Return the expected times of a request."""
        return self.state.expected_times(ctx)
