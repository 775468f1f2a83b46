"""Periods and limits of gossip."""

from typing import Final

MS_PER_S: Final = 1000
# Progress older than this is of no use to peers and is not told.
MAX_PROGRESS_AGE_S: Final = 2.0
GOSSIP_PERIOD_S: Final = 0.15
# A peer whose datagrams stay away this long is taken as down or cut off.
PEER_DOWN_S: Final = 1.0
# Periods in which each peer must have had its turn, counted from its last datagram.
TURNS_UNTIL_DOWN: Final = 4
# A claim of a zone that was not repeated for this long has no effect on its own.
ANNOUNCEMENT_TTL_S: Final = 1.0
# Peers that are neither owners nor chosen by turns get no datagram in a period, so
# that the traffic of a node does not grow with the number of nodes.
PEERS_PER_PERIOD: Final = 6
# Peers that are down get datagrams at this period, so that both sides notice the
# end of a partition.
DOWN_PEER_PERIOD_S: Final = 1.0
PEER_FORGOTTEN_S: Final = 120.0
# One Ethernet frame minus IPv4 and UDP headers.
MAX_DATAGRAM_BYTES: Final = 1472
