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
from .files import changed_operations, read_objects
from .labels import Labelled, change_labels
from .output import (
    finding_lines,
    object_rows,
    operation_line,
    plan_lines,
    table_lines,
    to_json,
)

# Operators say "vm"; the object that holds the labels has a longer name.
KIND_ALIASES = {"vm": ObjectKind.VM_LABELS}
_KINDS = click.Choice([*(kind.value for kind in ObjectKind), *KIND_ALIASES])
_FILE = click.Path(path_type=Path, dir_okay=False)
Accepted = EditAccepted | None


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
    content = read_objects(file)
    base = content.revision if base_revision is None else base_revision

    async def async_action(client: AdminClient) -> tuple[ConfigView, Accepted]:
        current = await client.async_get_config()
        operations = changed_operations(content, current)
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
    wanted = None if kind is None else _kind(kind)
    objects = [
        item
        for item in sorted(view.objects, key=lambda item: (item.kind, item.name))
        if wanted in (None, item.kind) and name in (None, item.name)
    ]
    if name is not None and not objects:
        raise CliError(
            f"no {wanted} has the name {name!r}",
            field="NAME",
            fix=f"list them with `get {wanted}`",
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
    operation = DeleteObject(kind=_kind(kind), name=name)

    async def async_action(client: AdminClient) -> tuple[ConfigView, Accepted]:
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
    _edit_labels(cli, _kind(kind), name, labels)


@click.command()
@click.argument("file", type=_FILE)
@output_option
@pass_context
@click.pass_context
def plan(ctx: click.Context, cli: CliContext, file: Path) -> None:
    """Show what `apply FILE` would change, without changing it."""
    content = read_objects(file)

    async def async_action(client: AdminClient) -> PlanView | None:
        operations = changed_operations(content, await client.async_get_config())
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
    _edit_labels(cli, _kind(kind), name, (f"{DRAIN_LABEL}={DRAIN_VALUE}",))


@click.command()
@click.argument("kind", type=click.Choice(["vm"]))
@click.argument("name")
@output_option
@pass_context
def undrain(cli: CliContext, kind: str, name: str) -> None:
    """Let a drained VM join groups again."""
    _edit_labels(cli, _kind(kind), name, (f"{DRAIN_LABEL}-",))


def _edit_labels(
    cli: CliContext, kind: ObjectKind, name: str, labels: tuple[str, ...]
) -> None:
    async def async_action(client: AdminClient) -> tuple[ConfigView, Accepted]:
        current = await client.async_get_config()
        item = _labelled(current, kind, name)
        changed = change_labels(item, labels)
        if changed == item:
            return current, None
        operations: tuple[Operation, ...] = (PutObject(object=changed),)
        return current, await client.async_edit(current.revision, operations)

    _show_edit(cli, *cli.run(async_action))


def _labelled(current: ConfigView, kind: ObjectKind, name: str) -> Labelled:
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


def _kind(text: str) -> ObjectKind:
    return KIND_ALIASES.get(text) or ObjectKind(text)


def _show_edit(cli: CliContext, current: ConfigView, accepted: Accepted) -> None:
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
