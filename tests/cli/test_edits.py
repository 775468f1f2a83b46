"""Tests of the commands that edit the configuration."""

import json
from collections.abc import Callable
from typing import Any

import pytest

from gooseberryhall.cli.const import ENV_ADMIN, ENV_TOKEN
from tests.admin.harness import READER, Admin

from .conftest import UNREACHABLE, RunCommand

TEAM: dict[str, Any] = {
    "kind": "team",
    "name": "dues",
    "labels": {"tier": "gold"},
    "token_sha256": ["0" * 64],
}
WriteObjects = Callable[..., str]


def test_apply_sends_only_changed_objects(
    run: RunCommand, admin: Admin, write: WriteObjects
) -> None:
    """Guards against edits that conflict because they contain unchanged objects."""
    vm = {"kind": "vm-labels", "name": "vm-1"}
    assert run("apply", write(TEAM)).code == 0
    result = run("apply", write(TEAM, vm), "--output", "json")
    assert result.data["revision"] == 2
    (operation,) = result.data["change"]["operations"]
    assert operation["object"]["name"] == "vm-1"
    repeated = run("apply", write(TEAM, vm), "--output", "json")
    assert repeated.data == {"revision": 2, "changed": False}


def test_concurrent_edit_shows_both_changes(
    run: RunCommand, admin: Admin, write: WriteObjects
) -> None:
    """Guards against a conflict error that hides what the other operator changed."""
    run("apply", write(TEAM))
    run("label", "team", "dues", "tier=silver")
    changed_team = {**TEAM, "weight": 7}
    result = run("apply", write(changed_team), "--base-revision", "1")
    assert result.code == 3
    assert "weight=7" in result.err
    assert '"tier":"silver"' in result.err
    assert "revision 2 by editor-" in result.err
    data = json.loads(
        run(
            "apply", write(changed_team), "--base-revision", "1", "--output", "json"
        ).err
    )
    assert data["error"]["code"] == "conflict"
    assert len(data["error"]["accepted"]) == 1


def test_edited_get_output_is_based_on_its_revision(
    run: RunCommand, admin: Admin, write: WriteObjects
) -> None:
    """Guards against an outdated file that reverts changes accepted since."""
    run("apply", write(TEAM))
    saved = run("get", "--output", "json").data
    run("label", "team", "dues", "tier=silver")
    saved["objects"][0]["weight"] = 7
    result = run("apply", write(*saved["objects"], revision=saved["revision"]))
    assert result.code == 3


def test_refusal_names_field_and_fix(
    run: RunCommand, admin: Admin, write: WriteObjects
) -> None:
    """Guards against a refusal that does not identify the invalid object."""
    kind = {"kind": "request-kind", "name": "charge", "service": "collections"}
    result = run("apply", write(kind))
    assert result.code == 1
    assert "request-kind/charge service:" in result.err
    assert "fix: declare it in the same edit" in result.err


def test_plan_of_a_refused_edit_fails(
    run: RunCommand, admin: Admin, write: WriteObjects
) -> None:
    """Guards against a pipeline that continues after a plan that would be refused."""
    kind = {"kind": "request-kind", "name": "charge", "service": "collections"}
    result = run("plan", write(kind))
    assert (result.code, "would be refused" in result.out) == (1, True)
    assert admin.table.rows == {}


def test_labels_are_set_and_removed(run: RunCommand, admin: Admin) -> None:
    """Guards against replacing all labels, which would remove a VM from its groups."""
    run("label", "vm", "vm-1", "pool=a", "rack=r1")
    run("label", "vm", "vm-1", "pool=b", "rack-")
    run("drain", "vm", "vm-1")
    drained = run("get", "vm", "vm-1", "--output", "json").data["objects"][0]
    assert drained["labels"] == {"pool": "b", "gooseberryhall.io/drain": "true"}
    run("undrain", "vm", "vm-1")
    assert run("get", "vm", "vm-1", "--output", "json").data["objects"][0][
        "labels"
    ] == {"pool": "b"}


def test_delete_removes_the_object(
    run: RunCommand, admin: Admin, write: WriteObjects
) -> None:
    """Guards against a revoked team that stays and a repeated delete that succeeds."""
    run("apply", write(TEAM))
    assert run("delete", "team", "dues").code == 0
    assert run("get", "team", "dues").code == 1
    assert run("delete", "team", "dues").code == 1


@pytest.mark.parametrize(
    ("arguments", "field"),
    [
        (("label", "vm", "vm-1", "pool"), "labels"),
        (("label", "vm", "vm-1", "pool=a b"), "labels.pool"),
        (("label", "team", "none", "a=b"), "NAME"),
    ],
)
def test_invalid_label_arguments_are_refused(
    run: RunCommand, admin: Admin, arguments: tuple[str, ...], field: str
) -> None:
    """Guards against storing a label that no selector can match."""
    result = run(*arguments)
    assert result.code == 1
    assert result.err.startswith(f"error: {field}")
    assert admin.table.rows == {}


def test_malformed_file_names_each_field(
    run: RunCommand, admin: Admin, write: WriteObjects
) -> None:
    """Guards against silently dropping a misspelt field."""
    team = {**TEAM, "wieght": 3, "priority": 99}
    result = run("apply", write(team))
    assert result.code == 1
    assert "objects.0.team.wieght: Extra inputs" in result.err
    assert "objects.0.team.priority: " in result.err


def test_outage_of_the_table_is_reported_as_unreachable(
    run: RunCommand, admin: Admin, write: WriteObjects
) -> None:
    """Guards against exit code 1, which would claim that the edit was refused."""
    run("apply", write(TEAM))
    admin.table.down = True
    result = run("apply", write({**TEAM, "weight": 2}))
    assert result.code == 4
    assert "the table does not answer; the edit was not accepted" in result.err


def test_reader_token_cannot_edit(
    run: RunCommand, admin: Admin, write: WriteObjects, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an edit that a reader token authorizes."""
    monkeypatch.setenv(ENV_TOKEN, READER)
    result = run("apply", write(TEAM))
    assert result.code == 1
    assert "editor role" in result.err
    assert admin.table.rows == {}


def test_exit_codes_without_an_answer(
    run: RunCommand, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against scripts that cannot tell wrong usage from an outage."""
    assert run("status").code == 2
    monkeypatch.setenv(ENV_ADMIN, UNREACHABLE)
    assert run("status").code == 4
    assert run("statsu").code == 2
    monkeypatch.setenv(ENV_ADMIN, "127.0.0.1:9")
    assert run("status").code == 2
