"""Groups and evidence for the tests of routing, requests and limits."""

from gooseberryhall.config.models import GroupSpec, Team
from gooseberryhall.core.state import Identity, State
from gooseberryhall.groups.models import Group, GroupPhase, Member
from gooseberryhall.membership.models import Evidence, MemberHealth, MemberState

SPEC = GroupSpec(
    name="assistant",
    model="grain",
    version="1",
    members=2,
    max_requests_per_group=4,
    vm_selector="pool=assistant",
    team_selector="org=takeshima",
    kind_selector="!restricted",
)
TEAM = Team(name="agronomy", labels={"org": "takeshima"}, requests_per_s=1000.0)


def create_state(*objects: GroupSpec | Team) -> State:
    """Return the state of a node in zone obihiro with a spec and a team."""
    state = State(Identity("entry-1", "obihiro", "hokkaido"))
    for item in objects or (SPEC, TEAM):
        state.config.objects[(item.kind, item.name)] = item
    return state


def add_group(
    state: State,
    name: str,
    *,
    zone: str = "obihiro",
    generation: int = 1,
    now_s: float = 0.0,
) -> Group:
    """Add a group of two members with evidence that they serve."""
    members = tuple(
        Member(f"{name}-vm{number}", f"{name}-boot{number}-{generation}", "http://x")
        for number in (0, 1)
    )
    group = Group(
        group=name,
        spec=SPEC.name,
        zone=zone,
        fabric_domain="fd",
        model="grain",
        model_version="1",
        generation=generation,
        phase=GroupPhase.SERVING,
        members=members,
    )
    state.groups.groups[name] = group
    report_serving(state, group, now_s)
    return group


def report_serving(
    state: State, group: Group, now_s: float, *, active: int = 0
) -> None:
    """Store evidence that all members of a group serve."""
    for member in group.members:
        health = MemberHealth(
            vm=member.vm,
            boot_id=member.boot_id,
            group=group.group,
            generation=group.generation,
            state=MemberState.SERVING,
            leaving=False,
            active=active if member is group.leader else 0,
            queued=0,
        )
        state.membership.evidence[member.vm] = Evidence(member.vm, health, now_s)


def report_unresponsive(state: State, vm: str, observed_at_s: float) -> None:
    """Store evidence that a member is unresponsive."""
    state.membership.evidence[vm] = Evidence(vm, None, observed_at_s)
