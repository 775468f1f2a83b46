"""Tests of edits through the administration API."""

import asyncio
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from gooseberryhall.admin.const import MAX_EDIT_BODY_BYTES
from gooseberryhall.groups.models import Vm, VmState
from tests.fakes import FakeTable

from .harness import EDITOR, READER, Admin, running_admin

TEAM = {"kind": "team", "name": "dues", "token_sha256": ["0" * 64]}
SPEC = {
    "kind": "group-spec",
    "name": "assistant",
    "model": "m",
    "version": "1",
    "members": 2,
    "vm_selector": "pool=a",
    "team_selector": "tier=a",
    "kind_selector": "chat",
}


def edit(base: int, *objects: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """Return the body of an edit that declares objects."""
    operations = [{"op": "put", "object": item} for item in objects]
    return {"base_revision": base, "operations": operations, **fields}


async def test_edit_is_stored_and_in_force_at_once(admin: Admin) -> None:
    """The administration program itself must not show the older configuration."""
    status, answer = await admin.async_call("POST", "/v1/config/edits", edit(0, TEAM))
    assert (status, answer["change"]["revision"]) == (200, 1)
    assert admin.ctx.runtime.state.config.revision == 1
    status, view = await admin.async_call("GET", "/v1/config")
    assert (view["revision"], view["source"]) == (1, "table")
    assert [item["name"] for item in view["objects"]] == ["dues"]


async def test_conflict_shows_both_changes(admin: Admin) -> None:
    """An operator who sees only one side cannot decide what to keep."""
    first = {**TEAM, "weight": 2}
    await admin.async_call("POST", "/v1/config/edits", edit(0, first))
    status, answer = await admin.async_call("POST", "/v1/config/edits", edit(0, TEAM))
    assert status == 409
    mine, theirs = answer["error"]["operations"], answer["error"]["accepted"]
    assert mine[0]["object"]["weight"] == 1
    assert theirs[0]["operations"][0]["object"]["weight"] == 2


async def test_racing_edits_through_two_programs_accept_one() -> None:
    """Two accepted edits on one base would silently drop one of them."""
    table = FakeTable()
    async with running_admin(table) as first, running_admin(table) as second:
        bodies = [edit(0, {**TEAM, "weight": weight}) for weight in (2, 3)]
        answers = await asyncio.gather(
            first.async_call("POST", "/v1/config/edits", bodies[0]),
            second.async_call("POST", "/v1/config/edits", bodies[1]),
        )
    assert sorted(status for status, _ in answers) == [200, 409]


async def test_repeated_edit_with_its_token_is_accepted_once(admin: Admin) -> None:
    """A client that lost the answer must not be told that it conflicts with itself."""
    body = edit(0, TEAM, token="ab" * 12)
    admin.table.lose_answers = 2
    await admin.async_call("POST", "/v1/config/edits", body)
    status, answer = await admin.async_call("POST", "/v1/config/edits", body)
    assert (status, answer["change"]["revision"]) == (200, 1)
    status, _ = await admin.async_call(
        "POST", "/v1/config/edits", edit(0, {**TEAM, "weight": 9}, token="ab" * 12)
    )
    assert status == 409


async def test_refused_edit_names_field_and_fix(admin: Admin) -> None:
    """A dangling reference must not come into force."""
    kind = {"kind": "request-kind", "name": "charge", "service": "collections"}
    status, answer = await admin.async_call("POST", "/v1/config/edits", edit(0, kind))
    assert status == 422
    (finding,) = answer["error"]["findings"]
    assert (finding["field"], finding["name"]) == ("service", "charge")
    assert "collections" in finding["message"]
    assert "declare it" in finding["fix"]
    assert admin.table.rows == {}


async def test_table_down_serves_the_copy_and_refuses_edits(admin: Admin) -> None:
    """During an outage operators still read, and no edit seems accepted."""
    await admin.async_call("POST", "/v1/config/edits", edit(0, TEAM))
    admin.table.down = True
    _, view = await admin.async_call("GET", "/v1/config")
    assert (view["source"], view["revision"]) == ("memory", 1)
    status, answer = await admin.async_call("POST", "/v1/config/edits", edit(1, TEAM))
    assert (status, answer["error"]["code"]) == (503, "table_unavailable")
    _, answer = await admin.async_call("GET", "/v1/status")
    assert (answer["table_reachable"], answer["revision"]) == (False, 1)


async def test_plan_changes_nothing(admin: Admin) -> None:
    """A plan that writes would put unreviewed changes into force."""
    vm = {"kind": "vm-labels", "name": "vm-1", "labels": {"pool": "a"}}
    await admin.async_call("POST", "/v1/config/edits", edit(0, TEAM, SPEC, vm))
    rows = dict(admin.table.rows)
    body = {"operations": edit(0, {**SPEC, "members": 1})["operations"]}
    status, plan = await admin.async_call("POST", "/v1/config/plan", body, token=READER)
    assert (status, plan["accepted"], plan["affected_vms"]) == (200, True, ["vm-1"])
    assert plan["differences"][0]["fields"] == [
        {"field": "members", "before": 2, "after": 1}
    ]
    assert admin.table.rows == rows


async def test_audit_shows_actor_and_difference(admin: Admin) -> None:
    """Operators must find out who changed what after an incident."""
    await admin.async_call("POST", "/v1/config/edits", edit(0, TEAM))
    labelled = {**TEAM, "labels": {"tier": "a"}}
    await admin.async_call("POST", "/v1/config/edits", edit(1, labelled))
    _, page = await admin.async_call("GET", "/v1/config/changes?after=1")
    (change,) = page["changes"]
    assert change["revision"] == 2
    assert change["actor"].startswith("editor-")
    assert change["differences"][0]["fields"] == [
        {"field": "labels.tier", "before": None, "after": "a"}
    ]
    assert not page["more"]


async def test_unlisted_vm_is_explained(admin: Admin) -> None:
    """A misspelt VM name leaves the real VM unlabelled without any other sign."""
    admin.vm_list.vms = (Vm("vm-1", "z", "fd", "http://127.0.0.1:1", 2, VmState.LIVE),)
    vm = {"kind": "vm-labels", "name": "vm-l"}
    status, answer = await admin.async_call("POST", "/v1/config/edits", edit(0, vm))
    assert status == 200
    assert "does not list" in answer["findings"][0]["message"]


@pytest.mark.parametrize(
    ("method", "path", "token", "expected"),
    [
        ("GET", "/v1/config", None, 401),
        ("GET", "/v1/config", "wrong", 401),
        ("GET", "/v1/openapi.json", "wrong", 401),
        ("POST", "/v1/config/edits", READER, 403),
        ("GET", "/v1/nothing", EDITOR, 404),
        ("DELETE", "/v1/config", EDITOR, 405),
        ("GET", "/v1/explain/group/none", READER, 404),
        ("GET", "/v1/explain/pod/none", READER, 400),
        ("GET", "/v1/config/changes?after=-1", READER, 400),
    ],
)
async def test_wrong_requests_get_typed_errors(
    admin: Admin, method: str, path: str, token: str | None, expected: int
) -> None:
    """A token without the role must change nothing, and clients need a code."""
    body = edit(0, TEAM) if method == "POST" else None
    status, answer = await admin.async_call(method, path, body, token=token)
    assert status == expected
    assert answer["error"]["code"]
    assert answer["error"]["message"]
    assert admin.table.rows == {}


async def test_body_over_the_limit_is_refused(admin: Admin) -> None:
    """An unlimited body would exhaust the memory of an entry VM."""
    body = b" " * (MAX_EDIT_BODY_BYTES + 1)
    status, answer = await admin.async_call("POST", "/v1/config/edits", body)
    assert (status, answer["error"]["code"]) == (413, "body_too_large")


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["op", "object", "kind", "name", "labels", "operations"])
            | st.text(max_size=4),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@settings(max_examples=150, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(body=st.binary(max_size=64) | JSON_VALUES.filter(lambda v: v is not None))
async def test_malformed_bodies_never_fail_inside(admin: Admin, body: Any) -> None:
    """Any body must get an error that names a field, never a 500."""
    status, answer = await admin.async_call("POST", "/v1/config/edits", body)
    assert (status, answer["error"]["code"]) == (400, "malformed_request")
    assert answer["error"]["field"]
    assert admin.table.rows == {}
