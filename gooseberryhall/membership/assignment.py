"""Assigns the VMs to the live nodes that probe them, by rendezvous hashing."""

from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from ..core.state import State

# Enough for the VMs of all zones at the target size.
_ASSIGNMENT_CACHE_SIZE = 4_096
_WEIGHT_BYTES = 8


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """A VM that this node probes."""

    vm: str
    address: str


def _rendezvous_weight(vm: str, node: str) -> tuple[bytes, str]:
    digest = blake2b(f"{vm}\0{node}".encode(), digest_size=_WEIGHT_BYTES).digest()
    return digest, node


@lru_cache(maxsize=_ASSIGNMENT_CACHE_SIZE)
def probing_node(vm: str, nodes: tuple[str, ...]) -> str:
    """Return the node that probes a VM."""
    return max(nodes, key=lambda node: _rendezvous_weight(vm, node))


def live_nodes_by_zone(state: State) -> dict[str, tuple[str, ...]]:
    """Return the names of this node and its live peers by zone, sorted."""
    nodes = {state.identity.zone: [state.identity.node]}
    for peer in state.membership.peers.values():
        nodes.setdefault(peer.node.zone, []).append(peer.node.node)
    return {zone: tuple(sorted(names)) for zone, names in nodes.items()}


def probe_targets(state: State) -> dict[str, ProbeTarget]:
    """Return the VMs that this node probes, by name.

    The VMs of a zone without a live node are assigned to the nodes of all zones.
    Members of groups are probed even if the VM list, which lags, does not contain them.
    """
    nodes_by_zone = live_nodes_by_zone(state)
    all_nodes = tuple(
        sorted(node for nodes in nodes_by_zone.values() for node in nodes)
    )
    targets = {}
    for vm, (zone, address) in _probed_vms(state).items():
        if probing_node(vm, nodes_by_zone.get(zone, all_nodes)) == state.identity.node:
            targets[vm] = ProbeTarget(vm, address)
    return targets


def _probed_vms(state: State) -> dict[str, tuple[str, str]]:
    """Return zone and address of all VMs that are in the VM list or in a group."""
    probed = {
        member.vm: (group.zone, member.address)
        for group in state.groups.groups.values()
        for member in group.members
    }
    for vm in state.groups.vms.values():
        probed[vm.vm] = (vm.zone, vm.address)
    return probed
