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
# A stream whose group lost a member stalls this long before it is cut off.
STALL_S: Final = 4.0
HEARTBEAT_INTERVAL_S: Final = 0.4
MISSED_HEARTBEATS_LIMIT: Final = 3

HOST_NAME: Final = "soak.example"
KEY: Final = "k1"
TEAM: Final = "t1"
MODEL_SERVICE: Final = "engine"
PLAIN_SERVICE: Final = "plain"
CALLER_PORT: Final = 8227
READY_PORT: Final = 8220
INTERNAL_PORTS: Final = (7340, 7355)

STREAM_EVENTS: Final = 12
EVENT_INTERVAL_S: Final = 0.03
PLAIN_WORK_S: Final = (0.01, 0.08)
ROUTE_TIMEOUT_S: Final = 3.0
# Pause of a slow group between two events; well below STALL_S and the timeout.
SLOW_GROUP_S: Final = 1.0
# Pause of all servers in a series of stops that overlap.
SERVER_PAUSE_S: Final = 0.6
# Servers lose the store for longer than it takes their records to lapse.
LAPSE_S: Final = 3.0
STOPPED_NODES: Final = 2
STOP_INTERVAL_S: Final = 1.0
# Time for which the store is away before it comes back from an earlier copy.
AWAY_S: Final = 0.5
# Prompt parts that requests share; one of them crashes servers that answer.
SHARED_PART: Final = "5a"
CRASHING_PART: Final = "bad"
# Parts before the crashing one, as long prompts have.
EARLIER_PARTS: Final = tuple(f"e{number}" for number in range(20))
CRASHING_REQUESTS: Final = 10
CRASHING_REQUEST_PERIOD_S: Final = 0.4
# The cause is known after five crashes; three more requests may be on their way.
MAX_PROMPT_CRASHES: Final = 8
MIN_SOUND_SHARE: Final = 0.5
CALLER_PERIOD_S: Final = 0.12

# Limits that the platform's documentation promises.
DRAIN_LIMIT_S: Final = 2.0
CONFIG_LIMIT_S: Final = 2.0
STABILITY_WINDOW_S: Final = 3.0
# Requests that may reach a server from a node between this time after it asked the node
# for a pause and the end of the pause.
PAUSE_SLACK_S: Final = 0.5
MAX_ARRIVALS_IN_PAUSE: Final = 2
RESPONSE_SLACK_S: Final = 0.5
EVACUATION_LIMIT_S: Final = 3.0
COLD_START_S: Final = 2.0
COLD_PER_S: Final = 3.0
COLD_OVERRUN: Final = 1.5
COLD_SLACK: Final = 1.5
COLD_LIMIT: Final = COLD_PER_S * COLD_OVERRUN + COLD_SLACK
MEMORY_MB: Final = 160
MAX_BODY_BYTES: Final = 4194304
RECOVERY_LIMIT_S: Final = 12.0
GRACE_PERIOD_S: Final = 8.0
# Allows for the transfer from node to server and for late timers of this process.
ARRIVAL_SLACK_S: Final = 0.2

# Times are not checked if timers of this process were later than this, or if a node
# waited longer than this for a processor within a period.
LAG_LIMIT_S: Final = 0.15
LAG_PERIOD_S: Final = 0.05
DELAY_PERIOD_S: Final = 0.5
START_LIMIT_S: Final = 20.0
FAULTS_S: Final = 12.0
