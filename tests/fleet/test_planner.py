"""Tests of the groups that the planner forms and dissolves."""

from collections import Counter
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.fleet.models import Group
from gooseberryhall.fleet.planner import plan_zone
from gooseberryhall.fleet.plans import SEVERAL_DOMAINS, ServerFacts

from .facts import LARGE, NO_MODELS, PROFILE, SMALL, free_server, zone_facts


def test_first_servers_of_a_domain_wait_for_the_large_model() -> None:
    """Guards against a small model that uses up the servers that register first."""
    assert plan_zone(
        zone_facts([free_server(f"s{n}") for n in range(3)], traffic=False)
    ) == (plan_zone(zone_facts([], traffic=False)))
    plan = plan_zone(
        zone_facts([free_server(f"s{n}") for n in range(4)], traffic=False)
    )
    assert [group.model for group in plan.groups] == ["large"]


def test_domain_of_nine_serves_both_models_and_keeps_a_spare_of_each() -> None:
    """Guards against a domain without spares to replace a lost member at once."""
    plan = plan_zone(
        zone_facts([free_server(f"s{n}") for n in range(9)], traffic=False)
    )
    assert [group.model for group in plan.groups] == ["large", "small"]
    assert sorted(spare.model for spare in plan.spares) == ["large", "small"]


def test_group_is_not_formed_of_servers_that_must_load() -> None:
    """Guards against three ready servers that wait 16 s for one without weights."""
    ready = [free_server(f"s{n}", last="large") for n in range(3)]
    plan = plan_zone(zone_facts([*ready, free_server("new")]))
    assert plan.groups == []
    assert [(spare.server_id, spare.model) for spare in plan.spares] == [
        ("new", "large")
    ]


def test_server_that_loads_another_model_is_not_used() -> None:
    """Guards against a join that is undone by the load in progress."""
    loading = ServerFacts("s2", "d", None, NO_MODELS, preparing="small")
    ready = [free_server(f"s{n}", last="small") for n in range(2)]
    assert plan_zone(zone_facts([*ready, loading])).groups == []


def test_servers_with_the_model_are_preferred() -> None:
    """Guards against a slow join although a server had the model in its last group.

    The join of such a server takes 0.2 s.
    """
    servers = [
        free_server("staged", staged="small"),
        *(free_server(f"s{n}", last="small") for n in range(3)),
    ]
    (group,) = plan_zone(zone_facts(servers)).groups
    assert "staged" not in group.members


def test_group_spans_domains_only_if_the_zone_has_none() -> None:
    """Guards against a zone without any group, and against needless slow groups.

    A group across domains is slow, but better than none: there was none for 14 s on
    trouble-1 of tks-aeration.
    """
    servers = [free_server(f"s{n}", f"d{n % 2}", last="large") for n in range(6)]
    (group,) = plan_zone(zone_facts(servers)).groups
    assert group.model == "large"
    existing = [(Group("g", 1, "large", ("a", "b", "c", "d")), "d9")]
    assert plan_zone(zone_facts(servers, groups=existing)).groups == []
    assert plan_zone(zone_facts(servers, traffic=False)).groups == []


def test_group_of_several_domains_ends_when_one_domain_can_form_it() -> None:
    """Guards against a slow group that stays although its servers fit in one domain.

    A free server that has loaded the model completes a fast group of the same members.
    """
    group = Group("g", 1, "large", ("a", "b", "c", "d"))
    members = [free_server(name, "d0", last="large") for name in "abc"]
    members.append(free_server("d", "d1", last="large"))
    for new, expected in (("d0", [group]), ("d1", [])):
        facts = zone_facts(
            [free_server("e", new, last="large")],
            groups=[(group, SEVERAL_DOMAINS)],
            members=members,
        )
        assert plan_zone(facts).dissolved == expected


def test_free_servers_are_kept_for_the_model_with_few_groups() -> None:
    """Guards against a small model that uses up the servers that the large one needs.

    It had six groups and the large model one (trial of scale-1, cuotas-unidas).
    """
    servers = [free_server(f"s{n}", last="small", staged="large") for n in range(3)]
    other_zone_groups = {"y": {"small": 4, "large": 2}}
    assert (
        plan_zone(zone_facts(servers, other_zone_groups=other_zone_groups)).groups == []
    )
    useless = [free_server(f"s{n}", last="small", staged="small") for n in range(3)]
    assert (
        len(plan_zone(zone_facts(useless, other_zone_groups=other_zone_groups)).groups)
        == 1
    )
    other_zone_groups = {"y": {"small": 3, "large": 2}}
    assert (
        len(plan_zone(zone_facts(servers, other_zone_groups=other_zone_groups)).groups)
        == 1
    )


def test_groups_follow_the_share_of_the_servers() -> None:
    """Guards against planning by the number of groups instead of servers.

    A model with small groups needs many of them for the same share of servers. With as
    many groups as the large model it refused a quarter of its requests (quiet-1,
    tks-aeration-grown).
    """
    profile = replace(
        PROFILE, models=(replace(LARGE, size=16, share=0.5), replace(SMALL, share=0.5))
    )
    servers = [free_server(f"s{n:02}") for n in range(37)]
    facts = replace(zone_facts(servers, traffic=False), profile=profile)
    counts = Counter(group.model for group in plan_zone(facts).groups)
    assert counts == {"large": 1, "small": 6}


def test_only_one_zone_gives_up_a_group_for_another_model() -> None:
    """Guards against several zones that act on the same imbalance."""
    group = Group("g", 1, "small", ("a", "b", "c"))
    members = [free_server(name, last="small", staged="large") for name in "abc"]
    free = [free_server("d", last="large")]
    groups = [(group, "d"), (Group("h", 2, "small", ("e",)), "d")]
    for other_zone, expected in ((3, []), (1, [group])):
        facts = zone_facts(
            free,
            groups=groups,
            other_zone_groups={"y": {"small": other_zone}},
            members=members,
        )
        assert plan_zone(facts).dissolved == expected


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["d0", "d1"]),
            st.sampled_from([None, "large", "small"]),
            st.sampled_from([None, "large", "small"]),
        ),
        max_size=24,
    ),
    st.booleans(),
)
def test_each_server_is_planned_once(
    drawn: list[tuple[str, str | None, str | None]], traffic: bool
) -> None:
    """Guards against a server in two plans and a group of another size."""
    servers = [
        free_server(f"s{number}", domain, last, staged)
        for number, (domain, last, staged) in enumerate(drawn)
    ]
    plan = plan_zone(zone_facts(servers, traffic=traffic))
    domains = {server.server_id: server.domain for server in servers}
    used = Counter(member for group in plan.groups for member in group.members)
    used.update(spare.server_id for spare in plan.spares)
    assert all(count == 1 for count in used.values())
    for group in plan.groups:
        model = PROFILE.model(group.model)
        assert model is not None
        assert len(group.members) == model.size
        if not traffic:
            assert len({domains[member] for member in group.members}) == 1
