"""Tracks requests that were in flight when a member of a group crashed.

All members of a group can fail together, and nodes can see different members fail.
A crash is therefore identified by the group and its generation if these are known, so
that one incident is not counted twice.
"""

from collections.abc import Collection

from ..core.effects import Effect
from ..core.state import State
from ..exceptions import Executed
from .const import (
    CRASH_CLEAR_S,
    CRASH_CONFIRMATION_TIMEOUT_S,
    CRASH_UNRESPONSIVE_S,
    CRASHES_TO_REFUSE,
    MAX_SUSPECTS,
    STATUS_UNPROCESSABLE_ENTITY,
    SUSPECT_LIFETIME_S,
)
from .effects import ReportSuspect
from .models import Failure, RequestPhase
from .state import Crash, CrashKey, PossibleCrash, RequestRecord, Suspect, SuspectsState


def is_refused(state: State, fingerprint: str) -> bool:
    """Return whether a request was in flight at too many crashes."""
    suspect = state.requests.suspects.suspects.get(fingerprint)
    return suspect is not None and len(suspect.crashes) >= CRASHES_TO_REFUSE


def is_suspect(state: State, fingerprint: str) -> bool:
    """Return whether a request must not share a group with other suspects."""
    suspects = state.requests.suspects
    suspect = suspects.suspects.get(fingerprint)
    if suspect is not None and not suspect.finished:
        return True
    return has_possible_crash(state, fingerprint)


def has_possible_crash(state: State, fingerprint: str) -> bool:
    """Return whether a stream of the request broke for a reason not known yet."""
    possible = state.requests.suspects.possible_crashes
    return any(item.fingerprint == fingerprint for item in possible)


def awaits_confirmation(state: State, fingerprint: str) -> bool:
    """Return whether a request may not start until possible crashes are confirmed.

    Otherwise its retries could crash further groups before probes show that the first
    ones crashed.
    """
    suspects = state.requests.suspects
    suspect = suspects.suspects.get(fingerprint)
    crashes = 0 if suspect is None else len(suspect.crashes)
    possible = sum(
        item.fingerprint == fingerprint for item in suspects.possible_crashes
    )
    return possible > 0 and crashes + possible >= CRASHES_TO_REFUSE


def groups_with_other_suspects(state: State, fingerprint: str) -> set[str]:
    """Return the groups that run other suspects of this node."""
    return {
        record.target.group
        for record in _running(state)
        if record.target is not None
        and record.request.fingerprint != fingerprint
        and is_suspect(state, record.request.fingerprint)
    }


def group_running_copy(state: State, record: RequestRecord) -> str | None:
    """Return the group that runs another copy of the same request."""
    for other in _running(state):
        if (
            other.request_id != record.request_id
            and other.request.fingerprint == record.request.fingerprint
            and other.target is not None
        ):
            return other.target.group
    return None


def record_possible_crash(state: State, record: RequestRecord, now_s: float) -> None:
    """Record a broken stream until evidence shows whether a member crashed."""
    if record.target is None:
        return
    possible = state.requests.suspects.possible_crashes
    fingerprint, target = record.request.fingerprint, record.target
    if len(possible) < MAX_SUSPECTS and not any(
        item.fingerprint == fingerprint and item.target.group == target.group
        for item in possible
    ):
        possible.append(PossibleCrash(fingerprint, target, now_s))


def mark_finished(state: State, fingerprint: str) -> None:
    """Let a request share a group with suspects again after it finished."""
    suspect = state.requests.suspects.suspects.get(fingerprint)
    if suspect is not None:
        suspect.finished = True


def confirm_crashes(state: State, now_s: float) -> list[Effect]:
    """Record possible crashes as crashes where the evidence shows one."""
    suspects = state.requests.suspects
    effects: list[Effect] = []
    remaining = []
    for item in suspects.possible_crashes:
        member = _crashed_member(state, item, now_s)
        if member is not None:
            record_crash(state, item.fingerprint, *member, now_s)
            effects.append(ReportSuspect(item.fingerprint, *member))
        elif not _is_cleared(state, item) and (
            now_s - item.broke_at_s < CRASH_CONFIRMATION_TIMEOUT_S
        ):
            remaining.append(item)
    suspects.possible_crashes = remaining
    return effects


def record_crash(
    state: State, fingerprint: str, vm: str, boot_id: str, at_s: float
) -> None:
    """Record that a request was in flight at a crash."""
    suspects = state.requests.suspects
    key = _crash_key(state, vm, boot_id)
    suspect = suspects.suspects.setdefault(fingerprint, Suspect())
    suspects.suspects.move_to_end(fingerprint)
    suspect.finished = False
    suspect.crashes.setdefault(key, at_s)
    crash = suspects.crashes.setdefault(key, Crash(vm, boot_id, at_s))
    crash.fingerprints.add(fingerprint)
    while len(suspects.suspects) > MAX_SUSPECTS:
        _remove_suspect(suspects, next(iter(suspects.suspects)))


def expire_crashes(state: State, now_s: float) -> None:
    """Remove old crashes, and those of members that have not crashed.

    A member behind a network partition is unresponsive without having crashed. When it
    responds again with the same boot id, its requests are no longer suspects.
    """
    suspects = state.requests.suspects
    for key, crash in list(suspects.crashes.items()):
        expired = now_s - crash.recorded_at_s >= SUSPECT_LIFETIME_S
        if expired or _has_recovered(state, crash):
            _remove_crash(suspects, key)


def crash_refusal() -> Failure:
    """Return the failure of a request that crashes servers."""
    return Failure(
        STATUS_UNPROCESSABLE_ENTITY,
        "invalid_request_error",
        "request_crashes_servers",
        "backend servers crashed twice while they ran this request",
        Executed.UNKNOWN,
    )


def _running(state: State) -> Collection[RequestRecord]:
    return [
        record
        for record in state.requests.active.values()
        if record.phase is RequestPhase.RUNNING
    ]


def _crashed_member(
    state: State, item: PossibleCrash, now_s: float
) -> tuple[str, str] | None:
    for vm, boot_id in item.target.boot_ids:
        evidence = state.membership.evidence.get(vm)
        if evidence is None:
            continue
        if evidence.health is None:
            # A single failed probe is not a crash. Each failed probe has a new date,
            # so the date of the first of consecutive ones is kept.
            since_s = item.unresponsive_since_s.setdefault(vm, evidence.observed_at_s)
            crashed = now_s - since_s > CRASH_UNRESPONSIVE_S
        else:
            item.unresponsive_since_s.pop(vm, None)
            crashed = evidence.health.boot_id != boot_id
        if crashed:
            return vm, boot_id
    return None


def _is_cleared(state: State, item: PossibleCrash) -> bool:
    """Return whether all members responded later than CRASH_CLEAR_S after the break."""
    evidence = [state.membership.evidence.get(vm) for vm, _ in item.target.boot_ids]
    return all(
        report is not None
        and report.health is not None
        and report.observed_at_s > item.broke_at_s + CRASH_CLEAR_S
        for report in evidence
    )


def _has_recovered(state: State, crash: Crash) -> bool:
    evidence = state.membership.evidence.get(crash.vm)
    return (
        evidence is not None
        and evidence.health is not None
        and evidence.health.boot_id == crash.boot_id
        and evidence.observed_at_s > crash.recorded_at_s
    )


def _crash_key(state: State, vm: str, boot_id: str) -> CrashKey:
    """Return the group and generation of a crashed member, else its VM and boot id."""
    for key, crash in state.requests.suspects.crashes.items():
        if (crash.vm, crash.boot_id) == (vm, boot_id):
            return key
    for group in state.groups.groups.values():
        if any((item.vm, item.boot_id) == (vm, boot_id) for item in group.members):
            return group.group, str(group.generation)
    return vm, boot_id


def _remove_suspect(suspects: SuspectsState, fingerprint: str) -> None:
    suspect = suspects.suspects.pop(fingerprint)
    for key in suspect.crashes:
        crash = suspects.crashes[key]
        crash.fingerprints.discard(fingerprint)
        if not crash.fingerprints:
            del suspects.crashes[key]


def _remove_crash(suspects: SuspectsState, key: CrashKey) -> None:
    for fingerprint in suspects.crashes.pop(key).fingerprints:
        suspect = suspects.suspects[fingerprint]
        del suspect.crashes[key]
        if not suspect.crashes:
            del suspects.suspects[fingerprint]
