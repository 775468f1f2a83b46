"""Tests of the assignment of VMs to the nodes that probe them."""

from gooseberryhall.core.reducer import reduce
from gooseberryhall.core.state import Identity, State
from gooseberryhall.groups.events import GroupViewReceived, VmsListed
from gooseberryhall.groups.models import Group, GroupPhase, Member, Vm, VmState
from gooseberryhall.membership.assignment import probe_targets
from gooseberryhall.membership.const import PEER_TIMEOUT_S
from gooseberryhall.membership.effects import PeerChange, PeerChanged
from gooseberryhall.membership.events import (
    HeartbeatReceived,
    PeerCheckDue,
    PeerLinkClosed,
)
from gooseberryhall.membership.models import Node

ZONES = {"a": "z1", "b": "z1", "c": "z2"}


def node(name: str, incarnation: str = "1") -> Node:
    """Return a node in its zone."""
    return Node(name, ZONES[name], "r1", incarnation, f"ws://{name}:1")


def vms() -> tuple[Vm, ...]:
    """Return VMs of three zones; the last has no nodes."""
    return tuple(
        Vm(f"{zone}-vm-{n}", zone, "f", f"http://{zone}-{n}:1", 2, VmState.LIVE)
        for zone in ("z1", "z2", "z3")
        for n in range(20)
    )


def create_states(*live: str) -> dict[str, State]:
    """Return the states of live nodes that have exchanged heartbeats."""
    result = {}
    for name in live:
        state = State(Identity(name, ZONES[name], "r1"))
        reduce(state, VmsListed(vms()), 0.0)
        for other in live:
            if other != name:
                reduce(state, HeartbeatReceived(node(other)), 0.0)
        result[name] = state
    return result


def test_each_vm_is_probed_by_one_node_of_its_zone() -> None:
    """No VM may be left without probes, and probes must stay in their zone."""
    targets_by_node = {
        name: probe_targets(state) for name, state in create_states(*ZONES).items()
    }
    assert sum(map(len, targets_by_node.values())) == len(vms())
    for name, targets in targets_by_node.items():
        assert {vm.split("-")[0] for vm in targets} <= {ZONES[name], "z3"}


def test_probes_of_an_unresponsive_node_are_reassigned() -> None:
    """VMs of an unresponsive node must be reassigned after 1.2 s, and no others."""
    states = create_states(*ZONES)
    before = {name: set(probe_targets(state)) for name, state in states.items()}
    for name, state in states.items():
        if name != "a":
            reduce(state, HeartbeatReceived(node("b" if name == "c" else "c")), 1.0)
            effects = reduce(state, PeerCheckDue(), PEER_TIMEOUT_S + 0.1)
            assert effects == [PeerChanged("a", "1", PeerChange.DOWN)]
    after = {name: set(probe_targets(states[name])) for name in ("b", "c")}
    assert before["b"] <= after["b"]
    assert before["c"] <= after["c"]
    assert after["b"] | after["c"] == {vm.vm for vm in vms()}
    assert not after["b"] & after["c"]


def test_stop_of_an_older_process_keeps_the_newer_peer() -> None:
    """The late close of an old process's link must not remove its successor."""
    state = create_states("a", "b")["a"]
    reduce(state, HeartbeatReceived(node("b", "2")), 0.5)
    reduce(state, PeerLinkClosed("b", "1"), 0.6)
    assert "b" in state.membership.peers
    reduce(state, PeerLinkClosed("b", "2"), 0.7)
    assert "b" not in state.membership.peers


def test_member_missing_from_the_vm_list_is_probed() -> None:
    """A gap in the VM list, which lags, must not make a serving group stale."""
    state = create_states("a")["a"]
    members = (Member("new-vm", "boot", "http://new:1"),)
    group = Group("g", "s", "z1", "f", "m", "v", 3, GroupPhase.SERVING, members)
    reduce(state, GroupViewReceived("z1", 5, (group,)), 0.0)
    assert probe_targets(state)["new-vm"].address == "http://new:1"
    # A view with a lower revision is older and must not replace the groups.
    reduce(state, GroupViewReceived("z1", 4, ()), 0.0)
    assert "new-vm" in probe_targets(state)
