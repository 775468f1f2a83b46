"""Sizes, periods and promised limits of the soak."""

from typing import Final

ZONES: Final = ("z1", "z2")
NODES_PER_ZONE: Final = 2
MODEL_SERVERS_PER_ZONE: Final = 6
PLAIN_SERVERS_PER_ZONE: Final = 2
MODEL: Final = "m"
GROUP_SIZE: Final = 2
SLOTS: Final = 8
LOAD_S: Final = 1.0
WARMUP_S: Final = 0.3
REJOIN_S: Final = 0.2
FORMATION_S: Final = 0.1
# Work that depends on a lost member stalls this long, then it is cut off.
STALL_S: Final = 4.0
HEARTBEAT_S: Final = 0.4
HEARTBEATS_TO_LAPSE: Final = 3

HOST_NAME: Final = "soak.example"
KEY: Final = "k1"
TENANT: Final = "t1"
MODEL_SERVICE: Final = "engine"
PLAIN_SERVICE: Final = "plain"
CALLER_PORT: Final = 8227
READY_PORT: Final = 8220
INTERNAL_PORTS: Final = (7340, 7355)

STREAM_EVENTS: Final = 12
EVENT_S: Final = 0.03
PLAIN_WORK_S: Final = (0.01, 0.08)
ROUTE_TIMEOUT_S: Final = 3.0
# Pause of a slow group between two events; well below STALL_S and the timeout.
SLOW_GROUP_S: Final = 1.0
CALLER_PERIOD_S: Final = 0.12

# Promised limits, from the platform's pages.
DRAIN_LIMIT_S: Final = 2.0
CONFIG_LIMIT_S: Final = 2.0
STABILITY_WINDOW_S: Final = 3.0
ANSWER_SLACK_S: Final = 0.5
RECOVERY_LIMIT_S: Final = 12.0
GRACE_S: Final = 8.0
# Way of a request from the node to the server, and late timers of this process.
ARRIVAL_S: Final = 0.2

# Times are not judged when timers of this process are later than this, or a node had
# to wait this long for a processor within a period.
LAG_LIMIT_S: Final = 0.15
LAG_PERIOD_S: Final = 0.05
DELAY_PERIOD_S: Final = 0.5
START_LIMIT_S: Final = 20.0
FAULTS_S: Final = 12.0
