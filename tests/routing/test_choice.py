"""Tests of the choice of a group, a group spec and a request kind."""

from gooseberryhall.config.models import GroupSpec, RequestKind, Team
from gooseberryhall.core.reducer import reduce
from gooseberryhall.core.state import State
from gooseberryhall.routing.choice import GroupQuery, choose_group
from gooseberryhall.routing.events import (
    CacheChange,
    CacheEventsReceived,
    LatencyObserved,
    StragglerCheckDue,
)
from gooseberryhall.routing.load import record_end, record_start
from gooseberryhall.routing.prefix import prompt_blocks, record_sent_blocks
from gooseberryhall.routing.specs import choose_spec, find_service_kind
from gooseberryhall.routing.stragglers import is_ejected
from tests.routing.common import SPEC, TEAM, add_group, create_state, report_serving

PROMPT = prompt_blocks(b"x" * 2000)


def chosen(state: State, now_s: float = 0.0, **query: object) -> str | None:
    """Return the name of the chosen group."""
    target = choose_group(state, GroupQuery(SPEC.name, **query), now_s)  # type: ignore[arg-type]
    return None if target is None else target.group


def test_own_requests_correct_an_old_report() -> None:
    """Requests between two load reports must not all go to the same group."""
    state = create_state()
    groups = [add_group(state, name) for name in ("a", "b", "c")]
    for group, active in zip(groups, (0, 1, 2), strict=True):
        report_serving(state, group, 0.0, active=active)
    counts = {"a": 0, "b": 0, "c": 0}
    for number in range(6):
        name = chosen(state, 1.0)
        assert name is not None
        counts[name] += 1
        record_start(state.routing, name, 0.1 + number / 10)
    assert counts == {"a": 3, "b": 2, "c": 1}


def test_report_that_covers_own_requests_does_not_count_them_twice() -> None:
    """Requests counted twice would make a group look full with free slots left."""
    state = create_state()
    group = add_group(state, "a")
    for _ in range(3):
        record_start(state.routing, "a", 0.1)
    report_serving(state, group, 0.5, active=3)
    assert chosen(state, 0.6) == "a"
    record_start(state.routing, "a", 0.6)
    assert chosen(state, 0.7) is None
    record_end(state.routing, "a", 0.8)
    assert chosen(state, 0.9) == "a"


def test_local_zone_first_until_full() -> None:
    """Requests must not cross zones while a local group has a free slot."""
    state = create_state()
    local = add_group(state, "z-local")
    add_group(state, "a-far", zone="sapporo")
    assert chosen(state) == "z-local"
    report_serving(state, local, 0.0, active=SPEC.max_requests_per_group)
    assert chosen(state) == "a-far"


def test_stale_member_closes_its_group() -> None:
    """A group with one stale member must not get requests (P1)."""
    state = create_state()
    group = add_group(state, "a")
    report_serving(state, group, 5.0)
    assert chosen(state, 8.0) == "a"
    old = state.membership.evidence[group.members[1].vm]
    state.membership.evidence[group.members[1].vm] = type(old)(old.vm, old.health, 4.9)
    assert chosen(state, 8.0) is None


def test_affinity_is_bounded_by_load() -> None:
    """A popular prefix must not send all requests to one group."""
    state = create_state()
    groups = [add_group(state, name) for name in ("a", "b", "c")]
    record_sent_blocks(state.routing, "c", 1, PROMPT)
    assert chosen(state, blocks=PROMPT) == "c"
    report_serving(state, groups[2], 0.0, active=1)
    assert chosen(state, blocks=PROMPT) == "c"
    report_serving(state, groups[2], 0.0, active=3)
    assert chosen(state, blocks=PROMPT) in ("a", "b")


def test_gap_in_cache_events_clears_the_index() -> None:
    """After a missed eviction the index would send requests to a cold cache."""
    state = create_state()
    for name in ("a", "b"):
        add_group(state, name)

    def receive(*changes: CacheChange) -> None:
        reduce(state, CacheEventsReceived("b", 1, changes), 0.0)

    receive(CacheChange(1, stored=True, blocks=PROMPT))
    assert chosen(state, blocks=PROMPT) == "b"
    receive(CacheChange(3, stored=True, blocks=("other",)))
    assert list(state.routing.prefixes["b"].blocks) == ["other"]
    receive(CacheChange(4, stored=True, blocks=PROMPT))
    receive(CacheChange(5, stored=False, blocks=PROMPT[:1]))
    assert PROMPT[0] not in state.routing.prefixes["b"].blocks


def test_new_generation_starts_with_a_cold_cache() -> None:
    """A group that was formed again must not be chosen for its earlier cache."""
    state = create_state()
    add_group(state, "a")
    record_sent_blocks(state.routing, "b", 1, PROMPT)
    add_group(state, "b", generation=2)
    report_serving(state, state.groups.groups["b"], 0.0, active=1)
    assert chosen(state, blocks=PROMPT) == "a"


def observe(state: State, gaps_s: dict[str, float]) -> None:
    """Report the token gaps of groups each second until slow groups are ejected."""
    for second in range(14):
        for name, gap_s in gaps_s.items():
            reduce(state, LatencyObserved(name, gap_s=gap_s), float(second))
        reduce(state, StragglerCheckDue(), float(second))


def test_ejection_of_stragglers_is_limited_to_a_share() -> None:
    """A slowdown of many groups must not eject most of the capacity."""
    state = create_state()
    slow_names = {"g0", "g1", "g2"}
    names = [f"g{number}" for number in range(7)]
    for name in names:
        add_group(state, name)
    observe(state, {name: 0.5 if name in slow_names else 0.02 for name in names})
    ejected = {name for name in names if is_ejected(state.routing, name, 13.0)}
    assert len(ejected) == 2
    assert ejected < slow_names
    assert not any(is_ejected(state.routing, name, 29.0) for name in names)


def test_one_slow_group_gets_no_new_work() -> None:
    """A degraded group must not get a share of the requests."""
    state = create_state()
    names = [f"g{number}" for number in range(4)]
    groups = [add_group(state, name) for name in names]
    observe(state, {name: 0.2 if name == "g0" else 0.02 for name in names})
    ejected = [name for name in names if is_ejected(state.routing, name, 13.0)]
    assert ejected == ["g0"]
    for group in groups:
        report_serving(state, group, 13.0, active=0 if group.group == "g0" else 2)
    assert chosen(state, 13.0) != "g0"
    assert chosen(state, 13.0, required_group="g0") == "g0"


def test_group_that_was_formed_again_is_not_ejected() -> None:
    """A new generation must not be ejected for the slow members of the last one."""
    state = create_state()
    names = [f"g{number}" for number in range(4)]
    for name in names:
        add_group(state, name)
    observe(state, {name: 0.2 if name == "g0" else 0.02 for name in names})
    assert is_ejected(state.routing, "g0", 13.0)
    add_group(state, "g0", generation=2, now_s=13.0)
    reduce(state, StragglerCheckDue(), 13.0)
    assert not is_ejected(state.routing, "g0", 13.0)


def test_spec_priority_then_name_decides() -> None:
    """Two nodes that choose different specs would split a team's requests."""
    low = SPEC.model_copy(update={"name": "a-low", "priority": 1})
    high = SPEC.model_copy(update={"name": "z-high", "priority": 7})
    same = SPEC.model_copy(update={"name": "y-same", "priority": 7})
    other = SPEC.model_copy(update={"name": "b", "team_selector": "org=else"})
    kinds: tuple[GroupSpec | Team, ...] = (low, high, same, other, TEAM)
    spec = choose_spec(create_state(*kinds).config, TEAM, None, "grain")
    assert spec is not None
    assert spec.name == "y-same"


def test_longest_path_prefix_decides_whole_segments() -> None:
    """A command must not be handled as an idempotent read with a similar path."""
    state = create_state()
    for name, prefix, idempotent in (
        ("all", "/", False),
        ("read", "/fan", True),
    ):
        kind = RequestKind(
            name=name,
            service="silo",
            method="GET",
            path_prefix=prefix,
            idempotent=idempotent,
        )
        state.config.objects[(kind.kind, kind.name)] = kind
    names = {
        path: getattr(find_service_kind(state.config, "silo", "GET", path), "name", "")
        for path in ("/fan/1", "/fans/1", "/fan")
    }
    assert names == {"/fan/1": "read", "/fans/1": "all", "/fan": "read"}


def test_idle_groups_are_used_in_rotation() -> None:
    """Without load or prefixes, one group must not get all requests of a node."""
    state = create_state()
    for name in ("a", "b", "c"):
        add_group(state, name)
    groups = []
    for number in range(6):
        now_s = number * 0.1
        group = chosen(state, now_s)
        record_start(state.routing, group, now_s)
        record_end(state.routing, group, now_s + 0.05)
        groups.append(group)
    assert sorted(groups[:3]) == ["a", "b", "c"]
    assert groups[3:] == groups[:3]
