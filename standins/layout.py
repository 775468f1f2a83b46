"""Names, addresses and settings files of a cluster."""

import hashlib
import json
import os
import random
import secrets
import socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .http import HOST

# Below the kernel's range of ephemeral ports, which outgoing connections use.
FIRST_PORT = 20_000
LAST_PORT = 32_000
PROGRAMS = ("entry", "control", "admin")


@dataclass(frozen=True, slots=True)
class ClusterOptions:
    """Sizes of a cluster and options of its stand-ins."""

    region: str = "hokkaido"
    zones: tuple[str, ...] = ("obihiro", "asahikawa", "sapporo")
    nodes_per_zone: int = 2
    domains_per_zone: int = 2
    vms_per_domain: int = 2
    services_per_zone: int = 1
    service: str = "silo"
    accelerators: int = 2
    vm_list_lag_s: float = 2.0
    weight_bytes: int = 1024 * 1024
    weight_rate_bytes_per_s: float = 64 * 1024 * 1024
    weight_max_readers: int = 16
    ignore_fence_every: int = 0
    engine_options: tuple[str, ...] = ()
    order_token: str | None = field(default_factory=lambda: secrets.token_hex(8))
    entry_settings: dict[str, Any] = field(default_factory=dict)
    log_level: str = "INFO"


@dataclass(frozen=True, slots=True)
class NodeLayout:
    """Ports of an entry VM; `ops` maps programs to their ops ports."""

    name: str
    zone: str
    ports: dict[str, int]
    ops: dict[str, int]

    def address(self, program: str) -> str:
        """Return the HTTP address of a program."""
        return f"http://{HOST}:{self.ports[program]}"

    def ops_address(self, program: str) -> str:
        """Return the address of a program's ops port."""
        return f"http://{HOST}:{self.ops[program]}"


@dataclass(frozen=True, slots=True)
class VmLayout:
    """A model VM; `port` is that of the engine itself, not of a proxy."""

    vm: str
    zone: str
    fabric_domain: str
    port: int


@dataclass(frozen=True, slots=True)
class ServiceLayout:
    """A server of the plain service."""

    name: str
    zone: str
    port: int

    @property
    def address(self) -> str:
        """Return the HTTP address."""
        return f"http://{HOST}:{self.port}"


@dataclass(frozen=True, slots=True)
class Layout:
    """Names, ports and secrets of all parts of a cluster."""

    options: ClusterOptions
    platform_port: int
    nodes: tuple[NodeLayout, ...]
    vms: tuple[VmLayout, ...]
    services: tuple[ServiceLayout, ...]
    link_secret: str
    editor_token: str
    reader_token: str


class PortPicker:
    """Picks currently free ports, each at most once."""

    def __init__(self) -> None:
        """Start at a random port, seeded with the process id."""
        start = random.Random(os.getpid()).randrange(FIRST_PORT, LAST_PORT)
        ports = range(FIRST_PORT, LAST_PORT)
        offset = start - FIRST_PORT
        self._ports: Iterator[int] = iter([*ports[offset:], *ports[:offset]])

    def pick(self) -> int:
        """Return a free port."""
        for port in self._ports:
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind((HOST, port))
                except OSError:
                    continue
            return port
        raise OSError("no free port")


def create_layout(options: ClusterOptions) -> Layout:
    """Return a layout with free ports and new secrets."""
    picker = PortPicker()
    nodes, vms, services = [], [], []
    for zone in options.zones:
        for number in range(1, options.nodes_per_zone + 1):
            program_ports = {program: picker.pick() for program in PROGRAMS}
            ops_ports = {program: picker.pick() for program in PROGRAMS}
            nodes.append(NodeLayout(f"{zone}-{number}", zone, program_ports, ops_ports))
        for domain in range(1, options.domains_per_zone + 1):
            for number in range(1, options.vms_per_domain + 1):
                name = f"{zone}-d{domain}-vm{number}"
                fabric = f"{zone}-d{domain}"
                vms.append(VmLayout(name, zone, fabric, picker.pick()))
        for number in range(1, options.services_per_zone + 1):
            name = f"{options.service}-{zone}-{number}"
            services.append(ServiceLayout(name, zone, picker.pick()))
    return Layout(
        options=options,
        platform_port=picker.pick(),
        nodes=tuple(nodes),
        vms=tuple(vms),
        services=tuple(services),
        link_secret=secrets.token_hex(16),
        editor_token=secrets.token_hex(16),
        reader_token=secrets.token_hex(16),
    )


def write_vms(layout: Layout, addresses: dict[str, str], file: Path) -> None:
    """Write the platform's VM list."""
    items = [
        {
            "vm": vm.vm,
            "zone": vm.zone,
            "fabric_domain": vm.fabric_domain,
            "address": addresses[vm.vm],
            "accelerators": layout.options.accelerators,
        }
        for vm in layout.vms
    ]
    file.write_text(json.dumps({"vms": items}, indent=2))


def write_settings(
    layout: Layout,
    node: NodeLayout,
    platform: str,
    control_addresses: dict[str, str],
    file: Path,
) -> None:
    """Write the settings file of an entry VM; addresses may be those of proxies."""
    listen = {
        program: {"port": node.ports[program], "ops_port": node.ops[program]}
        for program in PROGRAMS
    }
    settings = {
        "node": node.name,
        "zone": node.zone,
        "region": layout.options.region,
        "link_secret": layout.link_secret,
        "entry": {**listen["entry"], **layout.options.entry_settings},
        "control": listen["control"],
        "admin": {
            **listen["admin"],
            "editor_token_sha256": [sha256_hex(layout.editor_token)],
            "reader_token_sha256": [sha256_hex(layout.reader_token)],
        },
        "peers": [
            {
                "node": peer.name,
                "zone": peer.zone,
                "control_address": control_addresses[peer.name],
            }
            for peer in layout.nodes
            if peer.name != node.name
        ],
        "platform": {
            f"{part}_address": platform
            for part in ("table", "objects", "weights", "vms")
        },
        "engines": {
            "order_token": layout.options.order_token,
            "refuse_old_fence": layout.options.ignore_fence_every == 0,
        },
        "log_level": layout.options.log_level,
    }
    file.write_text(json.dumps(settings, indent=2))


def sha256_hex(text: str) -> str:
    """Return the SHA-256 of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
