"""Periods and limits of gossip."""

from typing import Final

GOSSIP_PERIOD_S: Final = 0.15
# A peer whose datagrams stay away this long is taken as down or cut off.
PEER_DOWN_S: Final = 1.0
# Peers that are down get datagrams at this period, so that both sides notice the
# end of a partition.
DOWN_PEER_PERIOD_S: Final = 1.0
PEER_FORGOTTEN_S: Final = 120.0
# One Ethernet frame minus IPv4 and UDP headers.
MAX_DATAGRAM_BYTES: Final = 1472
