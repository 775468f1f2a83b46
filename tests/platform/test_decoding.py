"""Tests of the platform's settings, configuration and server records."""

import json
from typing import Any

import pytest

from gooseberryhall.fleet.models import EngineTiming, MemberState
from gooseberryhall.platform.configuration import decode_configuration
from gooseberryhall.platform.exceptions import PlatformSettingsError, RowFormatError
from gooseberryhall.platform.servers import decode_report, decode_server_record
from gooseberryhall.platform.settings import SETTINGS_VARIABLE, load_settings

SETTINGS: dict[str, Any] = {
    "node_name": "frontend-a-1",
    "zone": "a",
    "ip_address": "10.1.0.4",
    "zones": {"b": "r", "a": "r"},
    "listen_addresses": {"frontend": "10.1.0.4:8227", "ready": "10.1.0.4:8220"},
    "internal_port_range": [7340, 7355],
    "platform": {"address": "10.200.1.7:8223", "form": "table"},
    "bounds": {"grace_period_s": 9, "unknown": True},
    "a_new_field": [1],
}
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "A.Example",
            "prefix": "/x/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 300,
            "priority": 1,
            "traffic_split": [
                {"service": "e", "weight": 90},
                {"service": "p", "weight": 10},
            ],
            "attempts": 2,
            "stream_resumption": True,
        },
        {
            "name": "r2",
            "host": "a.example",
            "prefix": "/x/y/",
            "kind": "unsafe",
            "timeout_ms": 800,
            "service": "p",
            "attempts": 1,
        },
    ],
    "services": [
        {
            "name": "e",
            "engine": {
                "slots": 13,
                "models": [{"name": "m", "size": 4, "load_time_s": 16.0}],
                "formation_ms": 300.0,
            },
        },
        {"name": "p"},
    ],
    "limits": {"idle_timeout_ms": 15000},
    "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}],
}
SERVER_RECORD: dict[str, Any] = {
    "service": "e",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "slots": 13,
    "state": "ready",
    "models": [{"name": "m", "version": 1}],
    "staged": ["m"],
    "domain": "d1",
    "born": 1700000000000,
    "sequence": 4,
    "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
}


# Deeper than the decoder follows in a field that it skips.
NESTED = b"[" * 2000 + b"]" * 2000


def add_nested_field(record: dict[str, Any]) -> bytes:
    """Return a record with an unknown field that is nested too deeply."""
    return json.dumps(record).encode()[:-1] + b',"extra":' + NESTED + b"}"


def test_settings_are_read(tmp_path: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against refusing settings with unknown fields."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    settings = load_settings()
    assert settings.zones == ("a", "b")
    assert settings.callers.port == 8227
    assert settings.stop_grace_s == 9.0
    path.write_text(json.dumps({**SETTINGS, "limits": {"file_descriptors": 100}}))
    assert load_settings().file_descriptors == 100


def test_unusable_settings_are_refused(
    tmp_path: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against invalid settings that are accepted or refused without a reason."""
    path = tmp_path / "node.json"
    path.write_text(json.dumps({**SETTINGS, "zones": 3}))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    with pytest.raises(PlatformSettingsError, match="zones"):
        load_settings()
    bounds = {**SETTINGS["bounds"], "evacuation_ms": -1}
    path.write_text(json.dumps({**SETTINGS, "bounds": bounds}))
    with pytest.raises(PlatformSettingsError, match="evacuation_ms"):
        load_settings()
    path.write_bytes(add_nested_field(SETTINGS))
    with pytest.raises(PlatformSettingsError, match="recursion"):
        load_settings()
    monkeypatch.delenv(SETTINGS_VARIABLE)
    with pytest.raises(PlatformSettingsError, match=SETTINGS_VARIABLE):
        load_settings()


def test_longest_prefix_selects_the_route() -> None:
    """Guards against a request that reaches the service of a shorter prefix."""
    cfg = decode_configuration(json.dumps(CONFIGURATION).encode())
    short = cfg.find_route(b"a.example", b"/x/1")
    long = cfg.find_route(b"a.example", b"/x/y/1")
    assert short is not None
    assert long is not None
    assert (short.name, short.idempotent, short.resumable) == ("r1", True, True)
    assert (long.name, long.idempotent, long.attempts) == ("r2", False, 1)
    assert cfg.find_route(b"a.example", b"/z/") is None
    assert cfg.find_route(b"other", b"/x/1") is None


def test_times_of_an_engine_are_converted_to_seconds() -> None:
    """Guards against estimates that are wrong by the unit of a field."""
    engine = {
        **CONFIGURATION["services"][0]["engine"],
        "step_ms": 6.0,
        "per_seq_ms": 0.1,
        "context_per_k": 0.02,
        "read_per_s": 50000.0,
        "stride": 7,
        "usual": {"prompt": 800, "answer": 210},
    }
    service = {"name": "e", "engine": engine, "cold_start_s": 3, "cold_per_s": 14}
    cfg = decode_configuration(
        json.dumps({**CONFIGURATION, "services": [service]}).encode()
    )
    decoded = cfg.services["e"]
    assert (decoded.cold_start_s, decoded.cold_requests_per_s) == (3.0, 14.0)
    assert decoded.engine is not None
    assert decoded.engine.timing == EngineTiming(
        0.006, 0.0001, 0.00002, 50000.0, 7, 800, 210
    )


def test_api_keys_select_their_team() -> None:
    """Guards against a refused key of a team and an accepted unknown key."""
    cfg = decode_configuration(json.dumps(CONFIGURATION).encode())
    assert cfg.teams_by_key[b"k2"].name == "t"
    assert b"k3" not in cfg.teams_by_key
    assert cfg.has_teams


@pytest.mark.parametrize(
    "change",
    [
        {"version": "7"},
        {"routes": [{"name": "r"}]},
        {"routes": [{**CONFIGURATION["routes"][0], "kind": "other"}]},
        {"services": None},
    ],
)
def test_malformed_configuration_is_refused(change: dict[str, Any]) -> None:
    """Guards against a malformed row that replaces the configuration in force."""
    with pytest.raises(RowFormatError):
        decode_configuration(json.dumps({**CONFIGURATION, **change}).encode())


_TOO_LARGE = 10**30


@pytest.mark.parametrize(
    "change",
    [
        {"slots": _TOO_LARGE},
        {"sequence": _TOO_LARGE},
        {"born": _TOO_LARGE},
        {"born": -1},
        {"born": 1.5},
        {"group": {**SERVER_RECORD["group"], "epoch": _TOO_LARGE}},
        {"group": {**SERVER_RECORD["group"], "epoch": -1}},
        {"group": {**SERVER_RECORD["group"], "rank": _TOO_LARGE}},
        {"domain": _TOO_LARGE},
        {"slots": None},
        {"version": 5},
        {"cold_remaining_ms": "soon"},
    ],
)
def test_odd_numbers_are_refused(change: dict[str, Any]) -> None:
    """Guards against numbers that fail later, in an order, a datagram or a choice."""
    record = json.dumps({**SERVER_RECORD, **change}).encode()
    with pytest.raises(RowFormatError):
        decode_server_record("i-1", record)


@pytest.mark.parametrize("field", ["service", "address", "zone", "slots", "sequence"])
def test_record_without_a_field_is_refused(field: str) -> None:
    """Guards against requests to a server of which too little is known."""
    record = {key: value for key, value in SERVER_RECORD.items() if key != field}
    with pytest.raises(RowFormatError):
        decode_server_record("i-1", json.dumps(record).encode())


@pytest.mark.parametrize(
    "server_id", ["", "i-1\r\nx-tenant: t", "i 1", "i-\u00e9", "i" * 201]
)
def test_unusable_server_id_is_refused(server_id: str) -> None:
    """Guards against a server id that adds a header to a request."""
    with pytest.raises(RowFormatError):
        decode_server_record(server_id, json.dumps(SERVER_RECORD).encode())


@pytest.mark.parametrize(
    "address",
    [
        "127.0..1:8310",
        "a" * 64 + ".example:80",
        "host.example:80",
        "10.0.0.1:65536",
        "10.0.0.1:0",
        "10.0.0.1:\u0663",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1\r\nX: y:80",
        "0.0.0.0:80",
    ],
)
def test_unusable_address_is_refused(address: str) -> None:
    """Guards against requests to a server that no connection can reach (review/3)."""
    with pytest.raises(RowFormatError):
        decode_server_record(
            "i-1", json.dumps({**SERVER_RECORD, "address": address}).encode()
        )


def test_nested_rows_are_refused() -> None:
    """Guards against an unreadable row whose error ends the task that reads the table.

    All nodes then knew only the servers of that time (review/2, DRAIN).
    """
    with pytest.raises(RowFormatError):
        decode_server_record("i-1", add_nested_field(SERVER_RECORD))
    with pytest.raises(RowFormatError):
        decode_report(add_nested_field(SERVER_RECORD))
    with pytest.raises(RowFormatError):
        decode_configuration(add_nested_field(CONFIGURATION))


def test_record_of_a_leader_is_decoded() -> None:
    """Guards against a wrong incarnation, domain or group of a server."""
    server = decode_server_record("i-1", json.dumps(SERVER_RECORD).encode())
    assert server.membership is not None
    assert server.membership.state is MemberState.OPEN
    assert (server.started_at_ms, server.domain, server.last_model) == (
        1700000000000,
        "d1",
        "m",
    )


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\x00",
        b"[]",
        b"{}",
        json.dumps({**SERVER_RECORD, "state": "odd"}).encode(),
        json.dumps({**SERVER_RECORD, "address": "nowhere"}).encode(),
        json.dumps({**SERVER_RECORD, "address": 5}).encode(),
        json.dumps({**SERVER_RECORD, "group": {"name": "g"}}).encode(),
    ],
)
def test_malformed_record_is_refused(data: bytes) -> None:
    """Guards against records with missing or mistyped fields or invalid bytes."""
    with pytest.raises(RowFormatError):
        decode_server_record("i-1", data)


def test_sequence_of_a_report_is_not_a_heartbeat() -> None:
    """Guards against comparing order counts with heartbeats (TWO on scale-1).

    `sequence` counts heartbeats in records, but orders in reports.
    """
    report = decode_report(
        json.dumps({**SERVER_RECORD, "sequence": 1, "pace": 2.5}).encode()
    )
    assert report.slowdown == 2.5
    assert not hasattr(report, "heartbeat")
    assert (
        decode_server_record("i-1", json.dumps(SERVER_RECORD).encode()).heartbeat == 4
    )


@pytest.mark.parametrize(
    ("stated_ms", "remaining_s"), [(1250, 1.25), (-1, 0.0), (1e300, 600.0)]
)
def test_cold_time_counts_from_the_arrival_of_the_record(
    stated_ms: float, remaining_s: float
) -> None:
    """Guards against a cold server that gets the usual load, or none for ever."""
    record = json.dumps({**SERVER_RECORD, "cold_remaining_ms": stated_ms}).encode()
    server = decode_server_record("i-1", record, 40.0)
    assert (server.cold_remaining_s, server.arrived_s) == (remaining_s, 40.0)
