"""Reads the configuration, plans and accepts edits, and lists accepted changes."""

import asyncio
import logging
from collections.abc import Sequence

from result import Err, Result

from ..adapters.exceptions import (
    MalformedResponseError,
    TableUnavailableError,
    VmListUnavailableError,
)
from ..config.checks import check_edit, has_errors
from ..config.const import MAX_RETAINED_CHANGES
from ..config.difference import describe_edit
from ..config.events import ConfigChangesReceived, ConfigSnapshotReceived
from ..config.findings import Finding
from ..config.operations import Change, Operation
from ..config.store import (
    ConfigSnapshot,
    Edit,
    EditConflict,
    async_edit,
    async_load_audit,
    async_load_revision,
    async_load_snapshot,
)
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .affected import find_affected
from .auth import Actor
from .const import AUDIT_PAGE_CHANGES
from .exceptions import OutcomeUnknownError, TableDownError
from .models import (
    ChangesView,
    ChangeView,
    ConfigView,
    EditAccepted,
    EditConflictView,
    EditRefusedView,
    EditRequest,
    PlanView,
)
from .services import AdminServices

_LOGGER = logging.getLogger(__name__)

EditOutcome = EditAccepted | EditConflictView | EditRefusedView


async def async_view_config(services: AdminServices) -> ConfigView:
    """Return the configuration in the table, or the copy in memory if it is down."""
    try:
        snapshot = await _async_current(services)
    except TableUnavailableError:
        config = services.runtime.state.config
        objects = tuple(config.objects.values())
        return ConfigView(revision=config.revision, source="memory", objects=objects)
    objects = tuple(snapshot.objects.values())
    return ConfigView(revision=snapshot.revision, source="table", objects=objects)


async def async_accept_edit(
    services: AdminServices, actor: Actor, request: EditRequest
) -> EditOutcome:
    """Check an edit, commit it to the table and send it to the control process."""
    try:
        current = await _async_current(services)
    except TableUnavailableError as exc:
        raise TableDownError(
            "the table does not answer; the edit was not accepted", fix="retry later"
        ) from exc
    findings: list[Finding] = []
    # Findings for a revision other than the edit's base would be misleading.
    if current.revision == request.base_revision:
        findings = await _async_check(services, current, request.operations)
    if has_errors(findings):
        return EditRefusedView(message="the edit has errors", findings=tuple(findings))
    outcome = await _async_write(services, _edit(actor, request, current))
    if isinstance(outcome, Err):
        return _conflict_view(outcome.err_value)
    change = outcome.ok_value
    _distribute_change(services, change)
    return EditAccepted(change=change, findings=tuple(findings))


async def async_plan(
    services: AdminServices, operations: tuple[Operation, ...]
) -> PlanView:
    """Return the effects of an edit on the configuration in the table or in memory."""
    try:
        current = await _async_current(services)
    except TableUnavailableError:
        config = services.runtime.state.config
        current = ConfigSnapshot(config.revision, dict(config.objects))
    findings = await _async_check(services, current, operations)
    affected = find_affected(services.runtime.state.groups, current.objects, operations)
    return PlanView(
        revision=current.revision,
        accepted=not has_errors(findings),
        findings=tuple(findings),
        differences=describe_edit(current.objects, operations),
        affected_groups=affected.groups,
        affected_vms=affected.vms,
    )


async def async_list_changes(services: AdminServices, after: int) -> ChangesView:
    """Return a page of the audit."""
    try:
        revision = await async_load_revision(services.table)
        records = await async_load_audit(services.table, after, AUDIT_PAGE_CHANGES)
    except TableUnavailableError as exc:
        raise TableDownError(
            "the table does not answer, which keeps the audit", fix="retry later"
        ) from exc
    changes = tuple(
        ChangeView(
            revision=record.change.revision,
            actor=record.change.actor,
            accepted_at_s=record.change.accepted_at_s,
            differences=record.differences,
        )
        for record in records
    )
    last = (
        changes[-1].revision if changes else max(after, revision - MAX_RETAINED_CHANGES)
    )
    return ChangesView(revision=revision, changes=changes, more=last < revision)


async def _async_current(services: AdminServices) -> ConfigSnapshot:
    """Return the accepted configuration, from memory if the copy there is current.

    Raises TableUnavailableError.
    """
    config = services.runtime.state.config
    revision = await async_load_revision(services.table)
    if revision == config.revision:
        return ConfigSnapshot(revision, dict(config.objects))
    snapshot = await async_load_snapshot(services.table)
    objects = tuple(snapshot.objects.values())
    services.runtime.async_dispatch(ConfigSnapshotReceived(snapshot.revision, objects))
    return snapshot


async def _async_check(
    services: AdminServices, current: ConfigSnapshot, operations: Sequence[Operation]
) -> list[Finding]:
    domains = await _async_fabric_domains(services)
    # With thousands of VMs the checks would block the loop beyond the link timeout.
    return await asyncio.to_thread(check_edit, current.objects, operations, domains)


async def _async_fabric_domains(services: AdminServices) -> dict[str, str] | None:
    """Return the fabric domains of the listed VMs, or None if there is no list.

    The list may lag or be unavailable, so it must not cause the refusal of an edit.
    """
    try:
        listed = await services.vm_list.async_list()
    except (VmListUnavailableError, MalformedResponseError):
        return None
    return {vm.vm: vm.fabric_domain for vm in listed}


def _edit(actor: Actor, request: EditRequest, current: ConfigSnapshot) -> Edit:
    differences = describe_edit(current.objects, request.operations)
    edit = Edit(request.base_revision, request.operations, actor.name)
    token = request.token or edit.token
    return Edit(edit.base_revision, edit.operations, edit.actor, token, differences)


async def _async_write(
    services: AdminServices, edit: Edit
) -> Result[Change, EditConflict]:
    try:
        return await async_edit(services.table, edit)
    except TableUnavailableError as exc:
        raise OutcomeUnknownError(
            "the table did not confirm the edit; it may be accepted",
            fix="send the same edit with the same token again, or compare `get`",
        ) from exc


def _distribute_change(services: AdminServices, change: Change) -> None:
    services.runtime.async_dispatch(ConfigChangesReceived((change,)))
    services.send_change(change)
    services.record_event("edit_accepted", revision=change.revision, actor=change.actor)
    log_event(
        _LOGGER,
        LogEvent.EDIT_ACCEPTED,
        "edit accepted",
        revision=change.revision,
        actor=change.actor,
        operations=len(change.operations),
    )


def _conflict_view(conflict: EditConflict) -> EditConflictView:
    return EditConflictView(
        message=(
            f"the edit is based on revision {conflict.base_revision}, but revision "
            f"{conflict.revision} is accepted"
        ),
        base_revision=conflict.base_revision,
        revision=conflict.revision,
        operations=conflict.operations,
        accepted=conflict.accepted,
    )
