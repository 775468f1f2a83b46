"""Periods and limits of gossip."""

from typing import Final

MS_PER_S: Final = 1000
# Older progress is of no use to peers and is not sent.
MAX_PROGRESS_AGE_S: Final = 2.0
GOSSIP_PERIOD_S: Final = 0.15
# A peer that sends no datagram for this long is considered down or cut off.
PEER_DOWN_S: Final = 1.0
# Number of full rounds over all peers without a datagram before a peer counts as down.
ROUNDS_UNTIL_DOWN: Final = 4
# A zone announcement that was not repeated for this long no longer shows a live owner.
ANNOUNCEMENT_TTL_S: Final = 1.0
# Number of peers, besides the owners, that get a datagram in a period. The peers take
# turns, so that the traffic of a node does not grow with the number of nodes.
PEERS_PER_PERIOD: Final = 6
# Period of datagrams to peers that are down, so that both sides notice the end of a
# partition.
DOWN_PEER_PERIOD_S: Final = 1.0
PEER_REMOVAL_S: Final = 120.0
# One Ethernet frame minus IPv4 and UDP headers.
MAX_DATAGRAM_BYTES: Final = 1472
