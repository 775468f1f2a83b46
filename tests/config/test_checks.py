"""Tests of the checks of an edit."""

from typing import Any

import pytest

from gooseberryhall.config.checks import check_edit
from gooseberryhall.config.const import MAX_EDIT_BYTES
from gooseberryhall.config.findings import Finding, Level
from gooseberryhall.config.models import (
    AnyObject,
    GroupSpec,
    ObjectKind,
    PlainService,
    Policy,
    RequestKind,
    ServiceServer,
    Team,
    VmLabels,
)
from gooseberryhall.config.operations import DeleteObject, PutObject
from gooseberryhall.config.state import ObjectKey

TOKEN = "a" * 64
CHAT = RequestKind(
    name="chat",
    model="m",
    labels={"chat": "yes"},
    path_prefix="/v1/chat/completions",
)
DUES = Team(name="dues", labels={"tier": "gold"}, token_sha256=(TOKEN,))


def create_spec(name: str = "assistant", **fields: Any) -> GroupSpec:
    """Return a spec that selects team dues, request kind chat and VMs of pool a."""
    values = {
        "name": name,
        "model": "m",
        "version": "1",
        "members": 2,
        "vm_selector": "pool=a",
        "team_selector": "tier=gold",
        "kind_selector": "chat",
    }
    return GroupSpec.model_validate(values | fields)


def create_vm_labels(name: str, **labels: str) -> VmLabels:
    """Return the labels of a VM."""
    return VmLabels(name=name, labels=labels)


def objects_by_key(*items: AnyObject) -> dict[ObjectKey, AnyObject]:
    """Return the items by key."""
    return {(item.kind, item.name): item for item in items}


POOL = (create_vm_labels("vm-1", pool="a"), create_vm_labels("vm-2", pool="a"))
BASE = objects_by_key(DUES, CHAT, create_spec(), *POOL)


def check_objects(*items: AnyObject) -> list[Finding]:
    """Return the findings of an edit of BASE that declares the items."""
    operations = [PutObject(object=item) for item in items]
    return check_edit(BASE, operations)


def test_valid_configuration_has_no_findings() -> None:
    """False findings would teach operators to ignore all of them."""
    operations = [PutObject(object=item) for item in BASE.values()]
    assert check_edit({}, operations) == []


@pytest.mark.parametrize(
    ("item", "field"),
    [
        (Policy(name="other"), "name"),
        (Team(name="copy", token_sha256=(TOKEN,)), "token_sha256.0"),
        (RequestKind(name="k", model="m", service="s"), "service"),
        (RequestKind(name="k"), "service"),
        (RequestKind(name="k", model="none"), "model"),
        (CHAT.model_copy(update={"name": "other"}), "path_prefix"),
        (create_spec(min_groups=2, max_groups=1), "min_groups"),
        (
            create_vm_labels("vm-1", **{"gooseberryhall.io/other": "x"}),
            "labels.gooseberryhall.io/other",
        ),
        (
            Team(
                name="t",
                token_sha256=("b" * 64,),
                labels={"gooseberryhall.io/drain": "true"},
            ),
            "labels.gooseberryhall.io/drain",
        ),
        (
            PlainService(
                name="s",
                servers=(ServiceServer(name="a", zone="z", address="http://h"),) * 2,
            ),
            "servers",
        ),
    ],
)
def test_error_names_the_field(item: AnyObject, field: str) -> None:
    """An error without the field does not tell an operator what to correct."""
    errors = [found for found in check_objects(item) if found.level is Level.ERROR]
    assert [found.field for found in errors] == [field]
    assert all(found.fix for found in errors)


def test_deleting_a_referenced_object_is_refused() -> None:
    """Requests of the kind would silently lose their group spec."""
    delete = DeleteObject(kind=ObjectKind.GROUP_SPEC, name="assistant")
    errors = [found.field for found in check_edit(BASE, [delete])]
    assert errors == ["model"]


def test_edit_above_the_frame_limit_is_refused() -> None:
    """An accepted change above the frame limit would never reach the processes."""
    name = "x" * 60
    teams = [
        Team(name=f"t{index}", labels={f"l{n}": name for n in range(60)})
        for index in range(60)
    ]
    assert sum(len(team.model_dump_json()) for team in teams) > MAX_EDIT_BYTES
    assert check_objects(*teams)[0].field == "operations"


def test_selector_without_match_names_the_requirement() -> None:
    """A selector that matches nothing leaves a spec without groups or traffic."""
    found = check_objects(create_spec(team_selector="tier=silver"))
    (warning,) = found
    assert warning.field == "team_selector"
    assert "'tier' excludes the last 1, which have gold" in warning.message


@pytest.mark.parametrize(("selector", "count"), [("!batch", 0), ("chat", 1)])
def test_requests_without_a_declared_kind_match_as_unlabelled(
    selector: str, count: int
) -> None:
    """A model needs no request kind; the checks must not skip its requests."""
    base = objects_by_key(DUES, *POOL)
    operation = PutObject(object=create_spec(kind_selector=selector))
    assert len(check_edit(base, [operation])) == count


@pytest.mark.parametrize(
    ("first", "second", "winner"),
    [(7, 5, "assistant"), (5, 7, "zebra"), (5, 5, "assistant")],
)
def test_overlap_says_which_spec_wins(first: int, second: int, winner: str) -> None:
    """Traffic that silently moves to another spec looks like an outage."""
    found = check_objects(
        create_spec(priority=first, max_groups=1),
        create_spec("zebra", priority=second, vm_selector="pool=a"),
    )
    (overlap,) = [item for item in found if item.field == "team_selector"]
    assert overlap.level is Level.WARNING
    assert f"{winner} takes this traffic" in overlap.message
    assert "dues" in overlap.message
    assert "chat" in overlap.message


def test_specs_of_other_models_or_teams_do_not_overlap() -> None:
    """A false overlap would make operators change valid selectors."""
    silver = Team(name="silver", labels={"tier": "silver"}, token_sha256=("b" * 64,))
    found = check_objects(silver, create_spec("other", team_selector="tier=silver"))
    assert found == []


def test_drained_vm_is_not_usable() -> None:
    """Without the warning, draining one VM too many would remove a group."""
    drained = create_vm_labels("vm-1", pool="a", **{"gooseberryhall.io/drain": "true"})
    (found,) = check_objects(drained)
    assert found.field == "vm_selector"
    assert "1 usable VMs (of 2 labelled)" in found.message


def test_group_must_fit_into_one_fabric_domain() -> None:
    """A group cannot span fabric domains, even if there are enough VMs in total."""
    operations = [PutObject(object=item) for item in BASE.values()]
    spread = {"vm-1": "fd-1", "vm-2": "fd-2"}
    assert [i.field for i in check_edit({}, operations, spread)] == ["vm_selector"]
    together = {"vm-1": "fd-1", "vm-2": "fd-1"}
    assert check_edit({}, operations, together) == []


def test_existing_warnings_are_not_repeated() -> None:
    """Repeated warnings would hide those that an edit causes."""
    base = objects_by_key(create_spec(), CHAT)
    label = PutObject(object=create_vm_labels("vm-9", pool="b"))
    fields = [item.field for item in check_edit(base, [label])]
    assert "team_selector" not in fields
