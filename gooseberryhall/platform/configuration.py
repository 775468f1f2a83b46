"""Decoder of the operator's configuration."""

from typing import Annotated, Literal

import msgspec

from ..fleet.models import (
    Configuration,
    EngineProfile,
    EngineTiming,
    Limits,
    Model,
    Route,
    Service,
    Target,
    Team,
)
from .decoding import decode_json
from .settings import MS_PER_S

_Positive = Annotated[int, msgspec.Meta(ge=1)]


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: Literal["safe", "unsafe", "streaming"]
    # Maximum time that a caller waits for the response.
    timeout_ms: float
    attempts: int = 1
    # Priority of the route; 0 is the highest.
    priority: int = 5
    target_latency_ms: float = 1000.0
    anonymous_access: bool = False
    stream_resumption: bool = False
    service: str | None = None
    traffic_split: list[_Split] = []


class _Model(msgspec.Struct):
    name: str
    size: _Positive
    share: float = 0.0
    pace: float = 1.0
    load_time_s: float = 0.0
    warmup_s: float = 0.0


class _Usual(msgspec.Struct):
    # Mean tokens of a prompt and of an answer.
    prompt: float = 0.0
    answer: float = 0.0


class _Engine(msgspec.Struct):
    slots: _Positive
    models: list[_Model] = []
    formation_ms: float = 0.0
    loads_at_once: _Positive = 1
    # Time of a token step, and what a running request and its context add.
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    # Prompt tokens read in a second.
    read_per_s: float = 0.0
    stride: _Positive = 1
    usual: _Usual = msgspec.field(default_factory=_Usual)


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Team(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Team] | None = None


def decode_configuration(data: bytes) -> Configuration:
    """Decode the row of the configuration. Raises `RowFormatError`."""
    raw = decode_json(data, _Configuration, "configuration")
    teams = raw.tenants or []
    return Configuration(
        version=raw.version,
        routes=tuple(_decode_route(route) for route in raw.routes),
        services={service.name: _decode_service(service) for service in raw.services},
        teams_by_key={
            key.encode(): Team(team.name, team.priority)
            for team in teams
            for key in team.api_keys
        },
        has_teams=raw.tenants is not None,
        limits=_decode_limits(raw.limits),
    )


def _decode_route(raw: _Route) -> Route:
    if raw.service is not None:
        targets: tuple[Target, ...] = (Target(raw.service, 1.0),)
    else:
        targets = tuple(Target(part.service, part.weight) for part in raw.traffic_split)
    streaming = raw.kind == "streaming"
    return Route(
        name=raw.name,
        host=raw.host.lower().encode(),
        prefix=raw.prefix.encode(),
        idempotent=raw.kind == "safe" or (streaming and raw.stream_resumption),
        streaming=streaming,
        resumable=streaming and raw.stream_resumption,
        anonymous=raw.anonymous_access,
        priority=raw.priority,
        timeout_s=raw.timeout_ms / MS_PER_S,
        latency_objective_s=raw.target_latency_ms / MS_PER_S,
        attempts=max(1, raw.attempts),
        targets=targets,
    )


def _decode_service(raw: _Service) -> Service:
    return Service(
        raw.name,
        _decode_engine(raw.engine) if raw.engine else None,
        cold_start_s=raw.cold_start_s,
        cold_requests_per_s=raw.cold_per_s,
    )


def _decode_engine(raw: _Engine) -> EngineProfile:
    return EngineProfile(
        slots=raw.slots,
        models=tuple(
            Model(
                name=model.name,
                size=model.size,
                time_factor=model.pace,
                share=model.share,
                load_s=model.load_time_s,
                warmup_s=model.warmup_s,
            )
            for model in raw.models
        ),
        formation_s=raw.formation_ms / MS_PER_S,
        loads_at_once=raw.loads_at_once,
        timing=EngineTiming(
            step_s=raw.step_ms / MS_PER_S,
            step_per_request_s=raw.per_seq_ms / MS_PER_S,
            step_per_context_s=raw.context_per_k / MS_PER_S,
            prompt_tokens_per_s=raw.read_per_s,
            steps_per_pass=raw.stride,
            mean_prompt_tokens=raw.usual.prompt,
            mean_answer_tokens=raw.usual.answer,
        ),
    )


def _decode_limits(raw: _Limits) -> Limits:
    return Limits(
        max_header_bytes=raw.max_header_bytes,
        max_body_bytes=raw.max_body_bytes,
        header_timeout_s=raw.header_timeout_ms / MS_PER_S,
        idle_timeout_s=raw.idle_timeout_ms / MS_PER_S,
    )
