"""Constants of the request path."""

from typing import Final

# A group that has requests in flight but sends nothing for this long has most likely
# lost a member. The timeout must exceed the pauses of a healthy group: processing
# prompts between the tokens of a full batch takes up to about a third of a second.
GROUP_STALL_TIMEOUT_S: Final = 0.45
# If all servers that should send something are silent, a pause of this VM or of the
# network is more likely than the loss of all of them.
SHARED_STALL_TIMEOUT_S: Final = 0.9
# A server that sent something this recently shows that there is no such pause.
RECENT_PROGRESS_S: Final = 0.2
STALL_CHECK_PERIOD_S: Final = 0.05
# A check that comes this much later than planned shows that the process did not run.
MAX_CHECK_DELAY_S: Final = 0.1
# Time for which a stalled group gets no requests; doubled with each consecutive stall.
STALL_BACKOFF_S: Final = 0.8
MAX_STALL_BACKOFF_S: Final = 6.0
# Number of groups sampled at random for a request; the least loaded one gets it.
GROUP_CHOICES: Final = 2
# Load, as a share of the slots, up to which groups of the caller's zone go first.
LOCAL_GROUP_LOAD: Final = 0.6
# Time that a request waits on a node that has just started and does not know any server
# yet, and the share of the time until its deadline that this may take at most.
STARTUP_WAIT_S: Final = 0.8
STARTUP_WAIT_SHARE: Final = 0.25
STARTUP_POLL_S: Final = 0.01
# Period in which requests ask whether a node that was paused may send again.
HOLD_POLL_S: Final = 0.01
# Added to the load, as a share of the slots, of servers in other zones.
CROSS_ZONE_LOAD_PENALTY: Final = 0.1
# Rejections by servers after which a request is refused.
MAX_REJECTIONS: Final = 4
# Maximum concurrent requests to a plain server, as a multiple of its slots.
MAX_PLAIN_LOAD: Final = 3.0
# Timeout of the first attempt of an idempotent request to a plain service, as a share
# of the remaining time.
FIRST_ATTEMPT_SHARE: Final = 0.5
UNREACHABLE_BACKOFF_S: Final = 1.0
# Share of the deployment's retry slack that all nodes use together.
RETRY_SLACK_SHARE: Final = 0.8
# Requests are refused if they, or a part of their prompt, crashed this many servers.
MAX_CRASHED_SERVERS: Final = 3
CRASH_RETENTION_S: Final = 600.0
# A stream that began longer ago is not the cause of a crash, as servers crash when they
# begin to answer.
CRASH_ONSET_S: Final = 1.0
# Broken connections of one incarnation of a server within this time count as one crash.
# A faulty server may break single requests again and again without a crash.
SAME_CRASH_S: Final = 10.0
# A server that crashes this soon after a request was aborted may have begun to run it.
CRASH_AFTER_ABORT_S: Final = 2.0
# Time for which a complete answer shows that a part of a prompt is harmless. Popular
# parts are in flight at most crashes.
ANSWER_TRUST_S: Final = 60.0
# Requests that were in flight at crashes and their traits together, and how many are
# kept if there are more.
MAX_SUSPECTS: Final = 320
KEPT_SUSPECTS: Final = 256
MAX_SUSPECT_TRAITS: Final = 16_384
KEPT_SUSPECT_TRAITS: Final = 12_288
# Prompts of many parts must not displace the answers of the last minute.
MAX_ANSWERED_TRAITS: Final = 16_384
# A crash is included in gossip messages for this long, with at most this many requests
# in a message, so that the loss of a group with many streams fits into a datagram.
CRASH_GOSSIP_S: Final = 3.0
MAX_GOSSIPED_CRASHES: Final = 8
MAX_GOSSIPED_CRASHES_OF_REQUEST: Final = 8
MAX_GOSSIPED_ANSWERS: Final = 16
# Prompt parts in a message, and of one request; others follow in the next messages.
MAX_GOSSIPED_PARTS: Final = 80
MAX_GOSSIPED_PARTS_OF_REQUEST: Final = 16
# Share of the messages that repeat the requests from which causes are derived, so that
# a node that has just started knows them within about a second.
CAUSE_GOSSIP_SHARE: Final = 0.2
# Prompt parts of a request that are taken into account: more than a head within the
# platform's limits holds, as any of them may crash servers.
MAX_PROMPT_PARTS: Final = 4096
# Longer ids of parts are replaced by a digest.
MAX_PART_ID: Final = 32
# Prompt parts in a log event.
MAX_LOGGED_PARTS: Final = 16
# Larger numbers of tokens in a header are ignored.
MAX_DECLARED_TOKENS: Final = 1_000_000
# Time in which the first request of a new connection arrives.
FIRST_REQUEST_S: Final = 0.5
# Maximum number of bytes that one read of a caller's connection returns. They may hold
# the end of one request and the start of the next.
MAX_READ_BYTES: Final = 256 * 1024
# Maximum size of one event of a stream. Hundreds of streams may hold an event each.
MAX_EVENT_BYTES: Final = 256 * 1024
# Share of the memory of the process that responses may take while they are received. A
# body that is complete is copied once, and other state takes the rest.
RESPONSE_MEMORY_SHARE: Final = 0.125
# Share for all that the node holds for others: requests, responses, what callers have
# not read, and connections. The program takes a third of the smallest VM; the rest is
# for copies, the kernel's buffers and the allocator.
HELD_MEMORY_SHARE: Final = 0.25
# Reserve for small requests, as a share of the limit, and the largest such request.
SMALL_REQUEST_SHARE: Final = 0.125
MAX_SMALL_REQUEST_BYTES: Final = 64 * 1024
# Objects of a header in memory, besides its characters.
HEADER_BYTES: Final = 160
# Objects and kernel structures of an open connection.
CONNECTION_BYTES: Final = 8 * 1024
CONNECTION_MEMORY_SHARE: Final = 0.0625
# Descriptors of listeners, datagrams, the store and orders.
RESERVED_DESCRIPTORS: Final = 64
# Callers take this share of the others. A request may be at two servers, and idle
# connections to servers are kept.
CONNECTION_DESCRIPTOR_SHARE: Final = 0.3
MIN_CONNECTIONS: Final = 8
# Connections to the listeners for readiness checks and metrics.
MAX_SERVICE_CONNECTIONS: Final = 32
# Receive buffers of all connections together, as a share of the memory; above it each
# gets less than the system gives by default.
RECEIVE_MEMORY_SHARE: Final = 0.125
RECEIVE_BUFFER_BYTES: Final = 128 * 1024
MIN_RECEIVE_BUFFER_BYTES: Final = 8 * 1024
# The system's default grows to megabytes, which are not counted.
SEND_BUFFER_BYTES: Final = 128 * 1024
# Time after which a caller that takes nothing is given up while too much
# is held.
MAX_UNREAD_S: Final = 1.0
# Time in which a caller can read a refusal, and bytes that are dropped meanwhile. An
# earlier close resets the connection, and the refusal may be lost.
LINGER_S: Final = 1.0
MAX_DROPPED_BYTES: Final = 1024 * 1024
# Longest time for a body, if its request has a later deadline.
MAX_BODY_S: Final = 60.0
# Bytes received for each byte of a body. A chunk of one byte takes six.
MAX_BYTES_PER_BODY_BYTE: Final = 8
# Parts of bodies in one read that are not paced, the time that the parser takes for a
# part, and the share of all time for such reads.
FREE_PARTS: Final = 512
PART_COST_S: Final = 0.000_000_3
PARTS_TIME_SHARE: Final = 0.25
# Complete requests of a connection that wait for an earlier one, in bytes; above it the
# connection is not read.
MAX_PIPELINED_BYTES: Final = 64 * 1024
# Period of the check for callers that do not read, and of the metrics of input.
INTAKE_CHECK_PERIOD_S: Final = 0.25
# Remaining time below which a request is not sent.
MIN_REMAINING_S: Final = 0.02
DEFAULT_DEADLINE_S: Final = 30.0
MAX_PRIORITY: Final = 9
# Added to the priority of a route for requests that can no longer be in time.
LATE_PRIORITY_STEP: Final = 5

RETRY_AFTER_NO_GROUP_S: Final = 0.8
RETRY_AFTER_BUSY_S: Final = 0.4
# An evacuation lasts long; callers return once, in case it ends.
RETRY_AFTER_EVACUATED_S: Final = 1.0
# Callers of a node that stops can go to another node at once.
RETRY_AFTER_STOPPING_S: Final = 0.05
RETRY_AFTER_JITTER: Final = 0.5

# Answers of a route without which the delay of a second copy is not known.
MIN_HEDGE_ANSWERS: Final = 50
# An answer that is late by less than this may only be late in this process.
MIN_HEDGE_DELAY_S: Final = 0.005
# Time and number of answers after which a new period of latencies begins.
HEDGE_PERIOD_S: Final = 60.0
HEDGE_PERIOD_ANSWERS: Final = 200
# Relative error of the quantiles of latencies.
LATENCY_ACCURACY: Final = 0.02
# No second copies are sent for this long after a server rejected a request.
HEDGE_REJECTION_S: Final = 1.0
# Window in which second copies stay within the operator's share. It is long, so that a
# node with few requests can send a copy at all.
HEDGE_SHARE_WINDOW_S: Final = 60.0
