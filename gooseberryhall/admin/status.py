"""Builds the status view."""

from ..adapters.exceptions import TableUnavailableError
from ..config.exceptions import ConfigUnreadableError
from ..config.models import GroupSpec
from ..config.store import async_load_revision
from ..core.state import State
from ..membership.evidence import group_closed_reason
from .models import GroupStatus, SpecStatus, StatusView
from .services import AdminServices


async def async_view_status(services: AdminServices) -> StatusView:
    """Return the state of the system as this process sees it."""
    state = services.runtime.state
    try:
        table_revision = await async_load_revision(services.table)
    except (TableUnavailableError, ConfigUnreadableError):
        table_revision = None
    groups = list_groups(state, services.clock())
    evidence = state.membership.evidence.values()
    unresponsive = sorted(item.vm for item in evidence if item.health is None)
    return StatusView(
        node=state.identity.node,
        zone=state.identity.zone,
        revision=state.config.revision,
        table_reachable=table_revision is not None,
        table_revision=table_revision,
        control_linked=services.is_linked(),
        specs=_list_specs(state, groups),
        groups=groups,
        vms_with_evidence=len(evidence),
        vms_not_answering=tuple(unresponsive),
    )


def list_groups(state: State, now_s: float) -> tuple[GroupStatus, ...]:
    """Return the status of all groups, sorted by name."""
    evidence = state.membership.evidence
    return tuple(
        GroupStatus(
            group=group.group,
            spec=group.spec,
            zone=group.zone,
            phase=group.phase,
            generation=group.generation,
            members=tuple(member.vm for member in group.members),
            closed=group_closed_reason(group, evidence, now_s),
        )
        for _, group in sorted(state.groups.groups.items())
    )


def _list_specs(
    state: State, groups: tuple[GroupStatus, ...]
) -> tuple[SpecStatus, ...]:
    specs = sorted(state.config.of_type(GroupSpec), key=lambda spec: spec.name)
    return tuple(
        SpecStatus(
            spec=spec.name,
            serving=sum(g.spec == spec.name and g.closed is None for g in groups),
            groups=sum(g.spec == spec.name for g in groups),
            min_groups=spec.min_groups,
            max_groups=spec.max_groups,
        )
        for spec in specs
    )
