"""Copies the state of the request path for decisions that must not change it."""

import copy
from dataclasses import replace

from .choosing import ServerChooser
from .metrics import GatewayMetrics
from .state import GatewayState


def snapshot(state: GatewayState) -> GatewayState:
    """Return a copy for decisions; it must not be used to send anything.

    All that a decision changes is copied: random numbers, allowances, budgets, the
    windows of cold servers, observed times and metrics. The rest is shared.
    """
    metrics = GatewayMetrics()
    rng = copy.copy(state.rng)
    view = replace(
        state,
        metrics=metrics,
        rng=rng,
        # Creating the copy registers it for the ends of attempts.
        backends=copy.copy(state.backends),
        budgets=copy.deepcopy(state.budgets),
        cold=state.cold.snapshot(),
        # It keeps the causes that it has found.
        crashes=copy.copy(state.crashes),
        hedging=copy.deepcopy(state.hedging),
        observed=copy.deepcopy(state.observed),
    )
    view.allowances = state.allowances.snapshot(rng)
    chooser = ServerChooser(view, view.allowances)
    view.waiting = state.waiting.snapshot(chooser, metrics)
    return view
