"""Chooses the refusal of a request that was not run because no server took it."""

import asyncio

from ..admission.decision import WaitEnd
from .context import RequestContext
from .models import GatewayResponse
from .refusals import (
    busy_response,
    cold_response,
    evacuated_response,
    no_group_response,
    paused_response,
    stopping_response,
)
from .state import GatewayState


def unserved_response(state: GatewayState, ctx: RequestContext) -> GatewayResponse:
    """Return the refusal of a request that no server has taken."""
    now_s = asyncio.get_running_loop().time()
    remaining_s = ctx.deadline_s - now_s
    if ctx.wait_end is WaitEnd.STOPPED:
        return stopping_response(state.rng)
    if state.is_evacuated(ctx, now_s):
        return evacuated_response(state.rng)
    # A server that rejected the request may get it again, so it is a candidate.
    if state.candidates(ctx, now_s):
        drained_s = state.waiting.retry_after_s(ctx, now_s, state.rng.random())
        return busy_response(state.rng, remaining_s, drained_s, ctx.wait_end)
    soonest_s = state.soonest_return_s(ctx, now_s)
    if soonest_s is not None:
        return paused_response(soonest_s, state.rng)
    retry_s = state.cold_retry_s(ctx, now_s)
    if retry_s is not None:
        return cold_response(retry_s, state.rng)
    if ctx.sends and not state.is_grouped(ctx.service):
        return busy_response(state.rng, remaining_s)
    return no_group_response(state.rng, remaining_s)
