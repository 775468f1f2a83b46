"""Tests of explanations."""

import json

import aiohttp
import pytest
from aiohttp import web

from gooseberryhall.admin.exceptions import UnknownObjectError
from gooseberryhall.admin.explain import (
    add_planner_view,
    explain_group,
    explain_request,
    explain_team,
    explain_vm,
)
from gooseberryhall.admin.models import Explanation
from gooseberryhall.admin.ops_readers import create_timeline_reader
from gooseberryhall.config.events import ConfigSnapshotReceived
from gooseberryhall.config.models import GroupSpec, RequestKind, Team, VmLabels
from gooseberryhall.core.reducer import reduce
from gooseberryhall.core.state import Identity, State
from gooseberryhall.groups.models import Group, GroupPhase, Member
from gooseberryhall.membership.models import Evidence, MemberHealth, MemberState
from gooseberryhall.settings.models import NodeSettings
from gooseberryhall.telemetry.ops import OpsState, create_ops_app
from gooseberryhall.telemetry.timeline import Timeline

from .harness import SETTINGS

NOW_S = 1000.0


def _create_spec(name: str, priority: int) -> GroupSpec:
    return GroupSpec(
        name=name,
        model="m",
        version="1",
        members=2,
        priority=priority,
        vm_selector="pool=a",
        team_selector="tier=gold",
        kind_selector="chat",
    )


def _create_health(vm: str, boot_id: str) -> MemberHealth:
    return MemberHealth(vm, boot_id, "g1", 7, MemberState.SERVING, False, 0, 0)


@pytest.fixture
def state() -> State:
    """Return a state with a group whose second member restarted, and a free VM."""
    state = State(Identity("obihiro-1", "obihiro", "hokkaido"))
    objects = (
        Team(name="dues", labels={"tier": "gold"}, token_sha256=("0" * 64,)),
        RequestKind(name="chat", model="m", labels={"chat": ""}),
        RequestKind(name="batch", model="m", labels={}, path_prefix="/b"),
        _create_spec("main", 5),
        _create_spec("spare", 3),
        *(VmLabels(name=f"vm-{n}", labels={"pool": "a"}) for n in (1, 2, 3)),
    )
    reduce(state, ConfigSnapshotReceived(1, objects), NOW_S)
    members = tuple(Member(f"vm-{n}", "b1", "http://h") for n in (1, 2))
    group = Group(
        "g1", "main", "obihiro", "fd", "m", "1", 7, GroupPhase.SERVING, members
    )
    state.groups.groups["g1"] = group
    state.membership.evidence = {
        "vm-1": Evidence("vm-1", _create_health("vm-1", "b1"), NOW_S - 1),
        "vm-2": Evidence("vm-2", _create_health("vm-2", "b2"), NOW_S - 1),
    }
    return state


def test_closed_group_names_the_failed_member(state: State) -> None:
    """Without its name, an operator has to search for the failed member among eight."""
    explanation = explain_group(state, "g1", NOW_S)
    assert explanation.summary == "takes no requests"
    assert explanation.reasons == ("member vm-2: it restarted and lost its memory",)


def test_spec_without_groups_names_the_missing_vms(state: State) -> None:
    """A spec whose VMs another spec uses must not look as if it were still forming."""
    explanation = explain_group(state, "spare", NOW_S)
    assert explanation.summary == "0 of 1 declared groups serve"
    assert "leaves 1 free VMs" in explanation.reasons[0]


def test_free_vm_lists_the_reasons(state: State) -> None:
    """Stranded accelerators cost money, so operators must see the reason."""
    explanation = explain_vm(state, "vm-3", NOW_S)
    assert explanation.summary == "in no group"
    assert "no probe of it has an answer" in explanation.reasons
    assert any("spec main" in r and "its 1 groups" in r for r in explanation.reasons)


def test_team_shows_the_winning_spec_and_refused_kinds(state: State) -> None:
    """Operators must see where requests of a team go before a caller complains."""
    chat = next(r for r in explain_team(state, "dues").reasons if "kind chat" in r)
    batch = next(r for r in explain_team(state, "dues").reasons if "kind batch" in r)
    assert chat.endswith("group spec main before spare (priority, then name)")
    assert "refused, no group spec" in batch


@pytest.mark.parametrize("explain", [explain_group, explain_vm])
def test_unknown_name_is_an_error(state: State, explain: object) -> None:
    """A misspelt name must not get the explanation of a healthy object."""
    assert callable(explain)
    with pytest.raises(UnknownObjectError):
        explain(state, "none", NOW_S)


def test_planner_view_is_added_if_it_mentions_the_object() -> None:
    """Only the control program can give the reason for a missing group."""
    spec = Explanation(kind="group", name="main", summary="")
    planner = {"groups": {}, "missing": {"obihiro": {"main": "no_fabric_domain"}}}
    details = add_planner_view(spec, planner).details
    assert details["planner"] == {"missing": {"obihiro": "no_fabric_domain"}}
    assert add_planner_view(spec, {}) == spec


async def test_request_is_explained_from_the_time_lines_of_the_vm() -> None:
    """An unresponsive program of the VM must not prevent the explanation."""
    timeline = Timeline()
    timeline.record("request_ended", request_id="r1", code="overloaded")
    timeline.record("request_ended", request_id="r2", code="ok")
    runner = web.AppRunner(create_ops_app(OpsState(timeline)))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    values = json.loads(json.dumps(SETTINGS))
    values["entry"]["ops_port"] = runner.addresses[0][1]
    settings = NodeSettings.model_validate(values)
    async with aiohttp.ClientSession() as session:
        events = await create_timeline_reader(session, settings)("r1")
    await runner.cleanup()
    explanation = explain_request("r1", events)
    assert explanation.reasons == ("request_ended: request_id=r1 code=overloaded",)
