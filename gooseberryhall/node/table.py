"""Routing table: the groups and servers that this node can send requests to."""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field, replace

from ..fleet.models import BackendServer, Group, ServedGroup
from ..fleet.view import FleetView
from ..gateway.server_index import ServerIndex, create_index
from ..gossip.messages import ServerTraffic, ZoneAnnouncement
from ..gossip.models import ReceivedAnnouncement


@dataclass(slots=True)
class RoutingTable:
    """Groups that take requests, and servers of all services by id."""

    groups: list[ServedGroup] = field(default_factory=list)
    servers: dict[str, BackendServer] = field(default_factory=dict)
    _index: ServerIndex | None = None
    _leaders: set[str] | None = None

    def index(self) -> ServerIndex:
        """Return the index of the table, which must not change afterwards."""
        if self._index is None:
            self._index = create_index(self.groups, self.servers.values())
        return self._index

    def add(self, announcement: ZoneAnnouncement, *, outdated: bool = False) -> None:
        """Add the groups and servers of a zone; outdated groups are used last."""
        for group in announcement.groups:
            if outdated:
                group = replace(group, leaving=True)  # noqa: PLW2901
            self.groups.append(group)
            self.servers[group.leader.server_id] = group.leader
        for server in announcement.servers:
            self.servers[server.server_id] = server

    def add_checked(self, announcement: ZoneAnnouncement, view: FleetView) -> None:
        """Add the groups and servers that the store lists as not leaving.

        Used if this node follows the records, because the owner may be slow, or may
        just have been paused, and may not know yet which servers left.
        """
        groups = tuple(
            group
            for group in announcement.groups
            if view.is_listed(group.leader.server_id)
        )
        servers = tuple(
            server
            for server in announcement.servers
            if view.is_listed(server.server_id)
        )
        self.add(replace(announcement, groups=groups, servers=servers))

    def leaders(self) -> set[str]:
        """Return the server ids of the leaders of all groups, as `index` does."""
        if self._leaders is None:
            self._leaders = {group.leader.server_id for group in self.groups}
        return self._leaders


def create_announcement(
    view: FleetView,
    zone: str,
    term: int,
    groups: Iterable[Group],
    *,
    grouped_service: str | None,
    traffic: Callable[[str], ServerTraffic],
    is_leaving: Callable[[BackendServer], bool] = lambda server: server.leaving,
    successors: tuple[str, ...] = (),
    other_owners: tuple[str, ...] = (),
    describe_cold: Callable[[BackendServer], BackendServer] | None = None,
) -> ZoneAnnouncement:
    """Return an announcement of a zone's open groups and plain servers.

    `traffic` returns the traffic to a server by its id, `is_leaving` whether it leaves,
    by its record or its own words. `describe_cold` returns a server with its cold time
    and grant; None if the owner states none.
    """
    served = [
        group
        for open_group in groups
        if (group := _create_served_group(view, zone, open_group, is_leaving))
        is not None
    ]
    plain = [
        _with_leaving(server, is_leaving)
        for server in view.servers.values()
        if server.zone == zone and server.service != grouped_service
    ]
    if describe_cold is not None:
        served = [replace(item, leader=describe_cold(item.leader)) for item in served]
        plain = [describe_cold(server) for server in plain]
    ids = [group.leader.server_id for group in served]
    ids += [server.server_id for server in plain]
    all_traffic = {server_id: traffic(server_id) for server_id in ids}
    return ZoneAnnouncement(
        zone,
        term,
        tuple(served),
        tuple(plain),
        {key: item for key, item in all_traffic.items() if item.in_flight},
        successors,
        other_owners,
        cold_known=describe_cold is not None,
    )


def _with_leaving(
    server: BackendServer, is_leaving: Callable[[BackendServer], bool]
) -> BackendServer:
    leaving = is_leaving(server)
    return server if server.leaving == leaving else replace(server, leaving=leaving)


def _create_served_group(
    view: FleetView,
    zone: str,
    group: Group,
    is_leaving: Callable[[BackendServer], bool],
) -> ServedGroup | None:
    leader = view.servers.get(group.leader)
    if leader is None or leader.zone != zone:
        return None
    # The owner keeps a group while a member without a record answers probes.
    leaving = any(map(is_leaving, view.last_records(group.members)))
    return ServedGroup(group.model, _with_leaving(leader, is_leaving), leaving)


def count_groups(
    groups: Sequence[ServedGroup], excluded_zones: Collection[str]
) -> dict[str, dict[str, int]]:
    """Return the number of groups by zone and model, except for some zones."""
    counts: dict[str, dict[str, int]] = {}
    for group in groups:
        if group.leader.zone in excluded_zones:
            continue
        models = counts.setdefault(group.leader.zone, {})
        models[group.model] = models.get(group.model, 0) + 1
    return counts


def list_same_servers(
    previous: Sequence[ReceivedAnnouncement], announced: Sequence[ReceivedAnnouncement]
) -> bool:
    """Return whether announcements of the same zones list the same servers."""
    return all(
        old is new
        or (
            old.announcement.groups == new.announcement.groups
            and old.announcement.servers == new.announcement.servers
        )
        for old, new in zip(previous, announced, strict=True)
    )
