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


def create_edit_body(
    base: int, *objects: dict[str, Any], **fields: Any
) -> dict[str, Any]:
    """Return the body of an edit that declares objects."""
    operations = [{"op": "put", "object": item} for item in objects]
    return {"base_revision": base, "operations": operations, **fields}


async def test_edit_is_stored_and_applied_at_once(admin: Admin) -> None:
    """The administration program must not return the older configuration."""
    status, response = await admin.async_call(
        "POST", "/v1/config/edits", create_edit_body(0, TEAM)
    )
    assert (status, response["change"]["revision"]) == (200, 1)
    assert admin.ctx.runtime.state.config.revision == 1
    status, view = await admin.async_call("GET", "/v1/config")
    assert (view["revision"], view["source"]) == (1, "table")
    assert [item["name"] for item in view["objects"]] == ["dues"]


async def test_conflict_response_holds_both_changes(admin: Admin) -> None:
    """An operator who sees only one of the changes cannot decide what to keep."""
    first = {**TEAM, "weight": 2}
    await admin.async_call("POST", "/v1/config/edits", create_edit_body(0, first))
    status, response = await admin.async_call(
        "POST", "/v1/config/edits", create_edit_body(0, TEAM)
    )
    assert status == 409
    refused, accepted = response["error"]["operations"], response["error"]["accepted"]
    assert refused[0]["object"]["weight"] == 1
    assert accepted[0]["operations"][0]["object"]["weight"] == 2


async def test_one_of_two_concurrent_edits_is_accepted() -> None:
    """Accepting two edits with one base revision would silently drop one of them."""
    table = FakeTable()
    async with running_admin(table) as first, running_admin(table) as second:
        bodies = [create_edit_body(0, {**TEAM, "weight": weight}) for weight in (2, 3)]
        responses = await asyncio.gather(
            first.async_call("POST", "/v1/config/edits", bodies[0]),
            second.async_call("POST", "/v1/config/edits", bodies[1]),
        )
    assert sorted(status for status, _ in responses) == [200, 409]


async def test_retried_edit_with_its_token_is_accepted_once(admin: Admin) -> None:
    """After a lost response, the retried edit must not conflict with itself."""
    body = create_edit_body(0, TEAM, token="ab" * 12)
    admin.table.lose_answers = 2
    await admin.async_call("POST", "/v1/config/edits", body)
    status, response = await admin.async_call("POST", "/v1/config/edits", body)
    assert (status, response["change"]["revision"]) == (200, 1)
    status, _ = await admin.async_call(
        "POST",
        "/v1/config/edits",
        create_edit_body(0, {**TEAM, "weight": 9}, token="ab" * 12),
    )
    assert status == 409


async def test_refused_edit_names_field_and_fix(admin: Admin) -> None:
    """A reference to an undeclared object must not be accepted."""
    kind = {"kind": "request-kind", "name": "charge", "service": "collections"}
    status, response = await admin.async_call(
        "POST", "/v1/config/edits", create_edit_body(0, kind)
    )
    assert status == 422
    (finding,) = response["error"]["findings"]
    assert (finding["field"], finding["name"]) == ("service", "charge")
    assert "collections" in finding["message"]
    assert "declare it" in finding["fix"]
    assert admin.table.rows == {}


async def test_table_outage_serves_the_copy_and_refuses_edits(admin: Admin) -> None:
    """During an outage, reads must work, and no edit may look accepted."""
    await admin.async_call("POST", "/v1/config/edits", create_edit_body(0, TEAM))
    admin.table.down = True
    _, view = await admin.async_call("GET", "/v1/config")
    assert (view["source"], view["revision"]) == ("memory", 1)
    status, response = await admin.async_call(
        "POST", "/v1/config/edits", create_edit_body(1, TEAM)
    )
    assert (status, response["error"]["code"]) == (503, "table_unavailable")
    _, response = await admin.async_call("GET", "/v1/status")
    assert (response["table_reachable"], response["revision"]) == (False, 1)


async def test_plan_changes_nothing(admin: Admin) -> None:
    """A plan that writes would apply changes that nobody has reviewed."""
    vm = {"kind": "vm-labels", "name": "vm-1", "labels": {"pool": "a"}}
    await admin.async_call(
        "POST", "/v1/config/edits", create_edit_body(0, TEAM, SPEC, vm)
    )
    rows = dict(admin.table.rows)
    body = {"operations": create_edit_body(0, {**SPEC, "members": 1})["operations"]}
    status, plan = await admin.async_call("POST", "/v1/config/plan", body, token=READER)
    assert (status, plan["accepted"], plan["affected_vms"]) == (200, True, ["vm-1"])
    assert plan["differences"][0]["fields"] == [
        {"field": "members", "before": 2, "after": 1}
    ]
    assert admin.table.rows == rows


async def test_audit_holds_actor_and_difference(admin: Admin) -> None:
    """Operators must find out who changed what after an incident."""
    await admin.async_call("POST", "/v1/config/edits", create_edit_body(0, TEAM))
    labelled = {**TEAM, "labels": {"tier": "a"}}
    await admin.async_call("POST", "/v1/config/edits", create_edit_body(1, labelled))
    _, page = await admin.async_call("GET", "/v1/config/changes?after=1")
    (change,) = page["changes"]
    assert change["revision"] == 2
    assert change["actor"].startswith("editor-")
    assert change["differences"][0]["fields"] == [
        {"field": "labels.tier", "before": None, "after": "a"}
    ]
    assert not page["more"]


async def test_unlisted_vm_gives_a_warning(admin: Admin) -> None:
    """Without the warning, a misspelt VM name silently leaves the VM unlabelled."""
    admin.vm_list.vms = (Vm("vm-1", "z", "fd", "http://127.0.0.1:1", 2, VmState.LIVE),)
    vm = {"kind": "vm-labels", "name": "vm-l"}
    status, response = await admin.async_call(
        "POST", "/v1/config/edits", create_edit_body(0, vm)
    )
    assert status == 200
    assert "does not list" in response["findings"][0]["message"]


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
async def test_invalid_requests_get_typed_errors(
    admin: Admin, method: str, path: str, token: str | None, expected: int
) -> None:
    """Refused requests must change nothing, and clients need an error code."""
    body = create_edit_body(0, TEAM) if method == "POST" else None
    status, response = await admin.async_call(method, path, body, token=token)
    assert status == expected
    assert response["error"]["code"]
    assert response["error"]["message"]
    assert admin.table.rows == {}


async def test_body_over_the_limit_is_refused(admin: Admin) -> None:
    """A body without a limit could exhaust the memory of an entry VM."""
    body = b" " * (MAX_EDIT_BODY_BYTES + 1)
    status, response = await admin.async_call("POST", "/v1/config/edits", body)
    assert (status, response["error"]["code"]) == (413, "body_too_large")


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
async def test_malformed_bodies_never_cause_a_server_error(
    admin: Admin, body: Any
) -> None:
    """Any malformed body must get an error that names a field, never a 500."""
    status, response = await admin.async_call("POST", "/v1/config/edits", body)
    assert (status, response["error"]["code"]) == (400, "malformed_request")
    assert response["error"]["field"]
    assert admin.table.rows == {}
