"""Divides the probes of VMs between the live nodes by rendezvous hashing."""

from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from ..core.state import State

# VMs of all zones at the target size.
_OWNER_CACHE_ENTRIES = 4_096
_WEIGHT_BYTES = 8


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """A VM that this node probes."""

    vm: str
    address: str


def _weight(vm: str, node: str) -> tuple[bytes, str]:
    digest = blake2b(f"{vm}\0{node}".encode(), digest_size=_WEIGHT_BYTES).digest()
    return digest, node


@lru_cache(maxsize=_OWNER_CACHE_ENTRIES)
def owner_of(vm: str, nodes: tuple[str, ...]) -> str:
    """Return the node that probes a VM."""
    return max(nodes, key=lambda node: _weight(vm, node))


def live_nodes_by_zone(state: State) -> dict[str, tuple[str, ...]]:
    """Return this node and its live peers by zone, sorted."""
    nodes = {state.identity.zone: [state.identity.node]}
    for peer in state.membership.peers.values():
        nodes.setdefault(peer.node.zone, []).append(peer.node.node)
    return {zone: tuple(sorted(names)) for zone, names in nodes.items()}


def probe_targets(state: State) -> dict[str, ProbeTarget]:
    """Return the VMs that this node probes, by name.

    A zone without a live node is divided between all nodes. Members of groups are
    probed also while the lagging VM list does not hold them.
    """
    by_zone = live_nodes_by_zone(state)
    every_node = tuple(sorted(node for nodes in by_zone.values() for node in nodes))
    targets = {}
    for vm, (zone, address) in _probed_vms(state).items():
        if owner_of(vm, by_zone.get(zone, every_node)) == state.identity.node:
            targets[vm] = ProbeTarget(vm, address)
    return targets


def _probed_vms(state: State) -> dict[str, tuple[str, str]]:
    """Return zone and address of all VMs that are listed or in a group."""
    probed = {
        member.vm: (group.zone, member.address)
        for group in state.groups.groups.values()
        for member in group.members
    }
    for vm in state.groups.vms.values():
        probed[vm.vm] = (vm.zone, vm.address)
    return probed
