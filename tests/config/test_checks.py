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


def spec(name: str = "assistant", **fields: Any) -> GroupSpec:
    """Return a spec that selects the team, the kind and VMs of pool a."""
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


def vm(name: str, **labels: str) -> VmLabels:
    """Return labels of a VM."""
    return VmLabels(name=name, labels=labels)


def objects(*items: AnyObject) -> dict[ObjectKey, AnyObject]:
    """Return the items by key."""
    return {(item.kind, item.name): item for item in items}


POOL = (vm("vm-1", pool="a"), vm("vm-2", pool="a"))
BASE = objects(DUES, CHAT, spec(), *POOL)


def find(*items: AnyObject) -> list[Finding]:
    """Check an edit of the base that declares the items."""
    operations = [PutObject(object=item) for item in items]
    return check_edit(BASE, operations)


def test_sound_configuration_has_no_findings() -> None:
    """Noise would train operators to ignore findings."""
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
        (spec(min_groups=2, max_groups=1), "min_groups"),
        (
            vm("vm-1", **{"gooseberryhall.io/other": "x"}),
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
    """An operator must see which field to correct."""
    errors = [found for found in find(item) if found.level is Level.ERROR]
    assert [found.field for found in errors] == [field]
    assert all(found.fix for found in errors)


def test_deleting_a_referenced_object_is_refused() -> None:
    """Requests of the kind would lose their spec without a word."""
    delete = DeleteObject(kind=ObjectKind.GROUP_SPEC, name="assistant")
    errors = [found.field for found in check_edit(BASE, [delete])]
    assert errors == ["model"]


def test_edit_that_no_link_can_carry_is_refused() -> None:
    """An accepted change above the frame limit would never reach the processes."""
    name = "x" * 60
    teams = [
        Team(name=f"t{index}", labels={f"l{n}": name for n in range(60)})
        for index in range(60)
    ]
    assert sum(len(team.model_dump_json()) for team in teams) > MAX_EDIT_BYTES
    assert find(*teams)[0].field == "operations"


def test_selector_without_match_names_the_requirement() -> None:
    """A selector that matches nothing leaves a spec without groups or traffic."""
    found = find(spec(team_selector="tier=silver"))
    (warning,) = found
    assert warning.field == "team_selector"
    assert "'tier' excludes the last 1, which have gold" in warning.message


@pytest.mark.parametrize(("selector", "count"), [("!batch", 0), ("chat", 1)])
def test_requests_without_a_declared_kind_have_no_labels(
    selector: str, count: int
) -> None:
    """A model needs no request kind; such traffic must be neither lost nor ignored."""
    base = objects(DUES, *POOL)
    operation = PutObject(object=spec(kind_selector=selector))
    assert len(check_edit(base, [operation])) == count


@pytest.mark.parametrize(
    ("first", "second", "winner"),
    [(7, 5, "assistant"), (5, 7, "zebra"), (5, 5, "assistant")],
)
def test_overlap_says_which_spec_wins(first: int, second: int, winner: str) -> None:
    """Traffic that moves to another spec without a word looks like an outage."""
    found = find(
        spec(priority=first, max_groups=1),
        spec("zebra", priority=second, vm_selector="pool=a"),
    )
    (overlap,) = [item for item in found if item.field == "team_selector"]
    assert overlap.level is Level.WARNING
    assert f"{winner} takes this traffic" in overlap.message
    assert "dues" in overlap.message
    assert "chat" in overlap.message


def test_specs_of_other_models_or_teams_do_not_overlap() -> None:
    """A false overlap would make operators change sound selectors."""
    silver = Team(name="silver", labels={"tier": "silver"}, token_sha256=("b" * 64,))
    found = find(silver, spec("other", team_selector="tier=silver"))
    assert found == []


def test_drained_vm_no_longer_counts() -> None:
    """Draining one VM too many must be seen before the group is gone."""
    drained = vm("vm-1", pool="a", **{"gooseberryhall.io/drain": "true"})
    (found,) = find(drained)
    assert found.field == "vm_selector"
    assert "1 usable VMs (of 2 labelled)" in found.message


def test_group_must_fit_into_one_fabric_domain() -> None:
    """VMs of two fabric domains are enough in number, but form no group."""
    operations = [PutObject(object=item) for item in BASE.values()]
    spread = {"vm-1": "fd-1", "vm-2": "fd-2"}
    assert [i.field for i in check_edit({}, operations, spread)] == ["vm_selector"]
    together = {"vm-1": "fd-1", "vm-2": "fd-1"}
    assert check_edit({}, operations, together) == []


def test_known_warnings_are_not_repeated() -> None:
    """An edit must show what it brings about, not every older warning."""
    base = objects(spec(), CHAT)
    label = PutObject(object=vm("vm-9", pool="b"))
    fields = [item.field for item in check_edit(base, [label])]
    assert "team_selector" not in fields
