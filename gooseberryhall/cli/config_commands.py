"""Commands that read and edit the declared configuration."""

from pathlib import Path

import click

from ..admin.models import ConfigView, EditAccepted, PlanView
from ..config.const import DRAIN_LABEL, DRAIN_VALUE
from ..config.models import ObjectKind, RequestKind, Team, VmLabels
from ..config.operations import DeleteObject, Operation, PutObject
from .client import AdminClient
from .const import ExitCode
from .context import CliContext, output_option, pass_context
from .exceptions import CliError
from .files import build_operations, read_objects
from .labels import LabelledObject, update_labels
from .output import (
    finding_lines,
    object_rows,
    operation_line,
    plan_lines,
    table_lines,
    to_json,
)

# Operators write "vm"; the kind of the object that holds its labels is longer.
KIND_ALIASES = {"vm": ObjectKind.VM_LABELS}
_KINDS = click.Choice([*(kind.value for kind in ObjectKind), *KIND_ALIASES])
_FILE = click.Path(path_type=Path, dir_okay=False)
# None if the objects already had the requested state, so that no edit was sent.
EditResult = EditAccepted | None


@click.command()
@click.argument("file", type=_FILE)
@click.option(
    "--base-revision",
    type=click.IntRange(min=0),
    help="Refuse the edit unless this revision is the accepted one.",
)
@output_option
@pass_context
def apply(cli: CliContext, file: Path, base_revision: int | None) -> None:
    """Declare the objects in FILE ({"objects": [...]}).

    Only objects that differ are sent. The base is --base-revision, else the `revision`
    in the file, else the revision read now. Other objects stay; use `delete`.
    """
    objects_file = read_objects(file)
    base = objects_file.revision if base_revision is None else base_revision

    async def async_action(client: AdminClient) -> tuple[ConfigView, EditResult]:
        current = await client.async_get_config()
        operations = build_operations(objects_file, current)
        if not operations:
            return current, None
        revision = current.revision if base is None else base
        return current, await client.async_edit(revision, operations)

    _show_edit(cli, *cli.run(async_action))


@click.command()
@click.argument("kind", type=_KINDS, required=False)
@click.argument("name", required=False)
@output_option
@pass_context
def get(cli: CliContext, kind: str | None, name: str | None) -> None:
    """Show declared objects, all or those of a KIND, or one by its NAME."""
    view = cli.run(AdminClient.async_get_config)
    kind_filter = None if kind is None else _parse_kind(kind)
    objects = [
        item
        for item in sorted(view.objects, key=lambda item: (item.kind, item.name))
        if kind_filter in (None, item.kind) and name in (None, item.name)
    ]
    if name is not None and not objects:
        raise CliError(
            f"no {kind_filter} has the name {name!r}",
            field="NAME",
            fix=f"list them with `get {kind_filter}`",
            code="not_found",
        )
    data = view.model_copy(update={"objects": tuple(objects)}).model_dump(mode="json")
    lines = [f"revision {view.revision}"]
    if view.source == "memory":
        lines = [f"revision {view.revision} (copy in memory; the table is down)"]
    if name is None:
        lines += table_lines(object_rows(objects))
    else:
        lines += [to_json(item.model_dump(mode="json")) for item in objects]
    cli.show(data, lines)


@click.command()
@click.argument("kind", type=_KINDS)
@click.argument("name")
@output_option
@pass_context
def delete(cli: CliContext, kind: str, name: str) -> None:
    """Remove one declared object."""
    operation = DeleteObject(kind=_parse_kind(kind), name=name)

    async def async_action(client: AdminClient) -> tuple[ConfigView, EditResult]:
        current = await client.async_get_config()
        return current, await client.async_edit(current.revision, (operation,))

    _show_edit(cli, *cli.run(async_action))


@click.command()
@click.argument("kind", type=click.Choice(["vm", "team", "request-kind"]))
@click.argument("name")
@click.argument("labels", nargs=-1, required=True, metavar="KEY=VALUE|KEY-...")
@output_option
@pass_context
def label(cli: CliContext, kind: str, name: str, labels: tuple[str, ...]) -> None:
    """Set labels (KEY=VALUE) and remove labels (KEY-) of an object."""
    _edit_labels(cli, _parse_kind(kind), name, labels)


@click.command()
@click.argument("file", type=_FILE)
@output_option
@pass_context
@click.pass_context
def plan(ctx: click.Context, cli: CliContext, file: Path) -> None:
    """Show what `apply FILE` would change, without changing it."""
    objects_file = read_objects(file)

    async def async_action(client: AdminClient) -> PlanView | None:
        operations = build_operations(objects_file, await client.async_get_config())
        return await client.async_plan(operations) if operations else None

    view = cli.run(async_action)
    if view is None:
        cli.show({"accepted": True, "differences": []}, ["nothing would change"])
        return
    cli.show(view.model_dump(mode="json"), plan_lines(view))
    if not view.accepted:
        ctx.exit(ExitCode.FAILED)


@click.command()
@click.argument("kind", type=click.Choice(["vm"]))
@click.argument("name")
@output_option
@pass_context
def drain(cli: CliContext, kind: str, name: str) -> None:
    """Keep a VM out of groups; its group finishes its streams first."""
    _edit_labels(cli, _parse_kind(kind), name, (f"{DRAIN_LABEL}={DRAIN_VALUE}",))


@click.command()
@click.argument("kind", type=click.Choice(["vm"]))
@click.argument("name")
@output_option
@pass_context
def undrain(cli: CliContext, kind: str, name: str) -> None:
    """Let a drained VM join groups again."""
    _edit_labels(cli, _parse_kind(kind), name, (f"{DRAIN_LABEL}-",))


def _edit_labels(
    cli: CliContext, kind: ObjectKind, name: str, labels: tuple[str, ...]
) -> None:
    async def async_action(client: AdminClient) -> tuple[ConfigView, EditResult]:
        current = await client.async_get_config()
        item = _find_labelled_object(current, kind, name)
        updated = update_labels(item, labels)
        if updated == item:
            return current, None
        operations: tuple[Operation, ...] = (PutObject(object=updated),)
        return current, await client.async_edit(current.revision, operations)

    _show_edit(cli, *cli.run(async_action))


def _find_labelled_object(
    current: ConfigView, kind: ObjectKind, name: str
) -> LabelledObject:
    for item in current.objects:
        if (item.kind, item.name) == (kind, name) and isinstance(
            item, Team | RequestKind | VmLabels
        ):
            return item
    if kind is ObjectKind.VM_LABELS:
        return VmLabels(name=name)
    raise CliError(
        f"no {kind} has the name {name!r}",
        field="NAME",
        fix=f"list them with `get {kind}`, or declare it with `apply`",
        code="not_found",
    )


def _parse_kind(text: str) -> ObjectKind:
    return KIND_ALIASES.get(text) or ObjectKind(text)


def _show_edit(cli: CliContext, current: ConfigView, accepted: EditResult) -> None:
    if accepted is None:
        data = {"revision": current.revision, "changed": False}
        cli.show(data, [f"nothing to change at revision {current.revision}"])
        return
    change = accepted.change
    lines = [f"accepted as revision {change.revision}"]
    lines += [f"  {operation_line(item)}" for item in change.operations]
    lines += finding_lines(accepted.findings)
    data = {"revision": change.revision, "changed": True}
    cli.show(data | accepted.model_dump(mode="json"), lines)
