"""Tests of the commands that edit the configuration."""

import json
from collections.abc import Callable
from typing import Any

import pytest

from gooseberryhall.cli.const import ENV_ADMIN, ENV_TOKEN
from tests.admin.harness import READER, Admin

from .conftest import UNREACHABLE, Run

TEAM: dict[str, Any] = {
    "kind": "team",
    "name": "dues",
    "labels": {"tier": "gold"},
    "token_sha256": ["0" * 64],
}
Write = Callable[..., str]


def test_apply_sends_only_changed_objects(run: Run, admin: Admin, write: Write) -> None:
    """Sending unchanged objects would make every edit conflict with every other."""
    vm = {"kind": "vm-labels", "name": "vm-1"}
    assert run("apply", write(TEAM)).code == 0
    outcome = run("apply", write(TEAM, vm), "--output", "json")
    assert outcome.data["revision"] == 2
    (operation,) = outcome.data["change"]["operations"]
    assert operation["object"]["name"] == "vm-1"
    repeated = run("apply", write(TEAM, vm), "--output", "json")
    assert repeated.data == {"revision": 2, "changed": False}


def test_racing_edit_shows_both_changes(run: Run, admin: Admin, write: Write) -> None:
    """The operator must see what the other operator changed meanwhile."""
    run("apply", write(TEAM))
    run("label", "team", "dues", "tier=silver")
    mine = {**TEAM, "weight": 7}
    outcome = run("apply", write(mine), "--base-revision", "1")
    assert outcome.code == 3
    assert "weight=7" in outcome.err
    assert '"tier":"silver"' in outcome.err
    assert "revision 2 by editor-" in outcome.err
    data = json.loads(
        run("apply", write(mine), "--base-revision", "1", "--output", "json").err
    )
    assert data["error"]["code"] == "conflict"
    assert len(data["error"]["accepted"]) == 1


def test_edited_get_output_is_based_on_its_revision(
    run: Run, admin: Admin, write: Write
) -> None:
    """A file read earlier must not undo what was accepted since."""
    run("apply", write(TEAM))
    saved = run("get", "--output", "json").data
    run("label", "team", "dues", "tier=silver")
    saved["objects"][0]["weight"] = 7
    outcome = run("apply", write(*saved["objects"], revision=saved["revision"]))
    assert outcome.code == 3


def test_refusal_names_field_and_fix(run: Run, admin: Admin, write: Write) -> None:
    """An operator must not have to guess which object is at fault."""
    kind = {"kind": "request-kind", "name": "charge", "service": "collections"}
    outcome = run("apply", write(kind))
    assert outcome.code == 1
    assert "request-kind/charge service:" in outcome.err
    assert "fix: declare it in the same edit" in outcome.err


def test_plan_of_a_refused_edit_fails(run: Run, admin: Admin, write: Write) -> None:
    """A pipeline must stop at a plan that would be refused."""
    kind = {"kind": "request-kind", "name": "charge", "service": "collections"}
    outcome = run("plan", write(kind))
    assert (outcome.code, "would be refused" in outcome.out) == (1, True)
    assert admin.table.rows == {}


def test_labels_are_set_and_removed(run: Run, admin: Admin) -> None:
    """Replacing all labels instead would take a VM out of its groups."""
    run("label", "vm", "vm-1", "pool=a", "rack=r1")
    run("label", "vm", "vm-1", "pool=b", "rack-")
    run("drain", "vm", "vm-1")
    drained = run("get", "vm", "vm-1", "--output", "json").data["objects"][0]
    assert drained["labels"] == {"pool": "b", "gooseberryhall.io/drain": "true"}
    run("undrain", "vm", "vm-1")
    assert run("get", "vm", "vm-1", "--output", "json").data["objects"][0][
        "labels"
    ] == {"pool": "b"}


def test_delete_removes_the_object(run: Run, admin: Admin, write: Write) -> None:
    """A revoked team must be gone, and a second delete must say so."""
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
def test_wrong_label_arguments_are_refused(
    run: Run, admin: Admin, arguments: tuple[str, ...], field: str
) -> None:
    """A label that no selector can match must not be stored."""
    outcome = run(*arguments)
    assert outcome.code == 1
    assert outcome.err.startswith(f"error: {field}")
    assert admin.table.rows == {}


def test_malformed_file_names_each_field(run: Run, admin: Admin, write: Write) -> None:
    """A misspelt field would otherwise be lost without a word."""
    team = {**TEAM, "wieght": 3, "priority": 99}
    outcome = run("apply", write(team))
    assert outcome.code == 1
    assert "objects.0.team.wieght: Extra inputs" in outcome.err
    assert "objects.0.team.priority: " in outcome.err


def test_outage_of_the_table_is_reported_as_unreachable(
    run: Run, admin: Admin, write: Write
) -> None:
    """Exit code 1 would say that the edit was refused, which is not known."""
    run("apply", write(TEAM))
    admin.table.down = True
    outcome = run("apply", write({**TEAM, "weight": 2}))
    assert outcome.code == 4
    assert "the table does not answer; the edit was not accepted" in outcome.err


def test_reader_token_cannot_edit(
    run: Run, admin: Admin, write: Write, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A reader's command must fail without a change."""
    monkeypatch.setenv(ENV_TOKEN, READER)
    outcome = run("apply", write(TEAM))
    assert outcome.code == 1
    assert "editor role" in outcome.err
    assert admin.table.rows == {}


def test_exit_codes_without_an_answer(
    run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Scripts tell a wrong command line from an outage by the exit code."""
    assert run("status").code == 2
    monkeypatch.setenv(ENV_ADMIN, UNREACHABLE)
    assert run("status").code == 4
    assert run("statsu").code == 2
    monkeypatch.setenv(ENV_ADMIN, "127.0.0.1:9")
    assert run("status").code == 2
