"""Tests of the models that free servers and hosts load."""

from gooseberryhall.fleet.planner import plan_zone
from gooseberryhall.fleet.spares import plan_staging

from .facts import PROFILE, free_server, zone_facts


def test_load_that_completes_a_group_goes_first() -> None:
    """Guards against ready servers that wait because other loads have priority.

    Many servers loaded at once, so that none was ready for 20 s; three ready servers
    of a domain waited 19 s for a fourth (inc-b5dd).
    """
    new = [free_server(f"a{n}", "d0") for n in range(4)]
    ready = [free_server(f"s{n}", "d1", last="large") for n in range(3)]
    facts = zone_facts([*new, *ready, free_server("last", "d1")], load_slots=1)
    assert [(spare.server_id, spare.model) for spare in plan_zone(facts).spares] == [
        ("last", "large")
    ]


def test_no_more_loads_start_than_the_weight_store_serves() -> None:
    """Guards against loads beyond the limit, which slow down all loads."""
    new = [free_server(f"s{n}") for n in range(9)]
    for slots in (0, 2, 5):
        assert len(plan_zone(zone_facts(new, load_slots=slots)).spares) == slots
    assert len(plan_zone(zone_facts(new)).spares) == 9


def test_warm_up_of_a_staged_model_needs_no_load() -> None:
    """Guards against a load slot for weights that are already on the host.

    A host keeps its weights when its server restarts.
    """
    servers = [free_server("new"), free_server("restarted", staged="small")]
    (spare,) = plan_zone(zone_facts(servers, load_slots=0)).spares
    assert (spare.server_id, spare.model) == ("restarted", "small")


def test_load_limit_does_not_apply_before_traffic() -> None:
    """Guards against delaying loads that are short and do not slow each other."""
    servers = [free_server(f"s{n}") for n in range(9)]
    plan = plan_zone(zone_facts(servers, traffic=False, load_slots=0))
    assert len(plan.spares) == 2


def test_new_server_loads_the_model_that_is_behind() -> None:
    """Guards against loads that increase an imbalance between models.

    The large model had three groups and the small one six (inc-0fc6).
    """
    other_zone_groups = {"y": {"small": 6, "large": 3}}
    ready = [free_server(f"s{n}", last="small") for n in range(2)]
    plan = plan_zone(
        zone_facts([*ready, free_server("new")], other_zone_groups=other_zone_groups)
    )
    assert [(spare.server_id, spare.model) for spare in plan.spares] == [
        ("new", "large")
    ]


def test_hosts_stage_the_model_that_their_servers_do_not_run() -> None:
    """Guards against stranded servers that cannot complete a group of another model.

    Three servers of the large model and one of the small were stranded in each domain
    after two losses (scale-1, cuotas-unidas).
    """
    servers = [
        free_server("a", last="large", staged="large"),
        free_server("b", last="small", staged="small"),
        free_server("c", last="large", staged="small"),
        free_server("d"),
    ]
    plans = plan_staging(PROFILE, servers)
    assert [(plan.server_id, plan.model) for plan in plans] == [
        ("a", "small"),
        ("b", "large"),
    ]
    mixed = [free_server(f"s{n}", last="large") for n in range(3)]
    (group,) = plan_zone(
        zone_facts([*mixed, free_server("b", last="small", staged="large")])
    ).groups
    assert group.model == "large"
