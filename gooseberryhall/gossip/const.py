"""Periods and limits of gossip."""

from typing import Final

MS_PER_S: Final = 1000
# Older progress is of no use to peers and is not sent.
MAX_PROGRESS_AGE_S: Final = 2.0
GOSSIP_PERIOD_S: Final = 0.15
# A peer that sends no datagram for this long is considered down or cut off.
PEER_DOWN_S: Final = 1.0
# Number of intervals without a datagram before an owner counts a peer as down.
INTERVALS_UNTIL_DOWN: Final = 4
# A zone announcement that was not repeated for this long no longer shows a live owner.
ANNOUNCEMENT_TTL_S: Final = 1.0
# Number of peers, besides the owners, that get a datagram in a period. The peers take
# turns, so that the traffic of a node does not grow with the number of nodes. While all
# zones have owners, peers learn everything from them.
PEERS_PER_PERIOD: Final = 6
PEERS_PER_PERIOD_WITH_OWNERS: Final = 1
# Peers, owners for example, that a node passes over in a period to find the next ones.
PEERS_PASSED_OVER: Final = 7
# Number of peers of other zones that exchange datagrams with an owner in a period. If
# there are more, each of them has a longer interval, of several periods at most.
REMOTE_PEERS_PER_PERIOD: Final = 48
MAX_REMOTE_PERIODS: Final = 3
# Number of nodes that an owner names as its successors, should it stop.
SUCCESSORS: Final = 3
# Period of datagrams to peers that are down, so that both sides notice the end of a
# partition, and of those from an owner to nodes of its zone that it does not hear. The
# latter is shorter, as such a node soon contends for the zone.
DOWN_PEER_PERIOD_S: Final = 1.0
UNHEARD_NODE_PERIOD_S: Final = 0.3
# Datagrams are sent in batches with a pause in between. All datagrams of an owner at
# once exceed the buffers of a small VM's link, and always the same nodes get none.
BATCH_DATAGRAMS: Final = 12
BATCH_PAUSE_S: Final = 0.01
PEER_REMOVAL_S: Final = 120.0
# One Ethernet frame minus IPv4 and UDP headers.
MAX_DATAGRAM_BYTES: Final = 1472
