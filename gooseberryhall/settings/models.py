"""Settings of an entry VM, which its programs share and validate at start."""

from typing import Annotated, Literal, Self

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    model_validator,
)

from ..config.models import HttpAddress, Name, Sha256Hex

Port = Annotated[int, Field(ge=1, le=65535)]
LinkAddress = Annotated[str, StringConstraints(pattern=r"^ws://[^/\s]+$")]


class _Section(BaseModel):
    """Base of all sections; unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenSettings(_Section):
    """Addresses on which a program listens."""

    host: str = "127.0.0.1"
    port: Port
    ops_port: Port


class EntrySettings(ListenSettings):
    """Settings of the entry program."""

    balancer_notice_s: Annotated[float, Field(ge=0, le=60)] = 2.0
    drain_limit_s: Annotated[float, Field(gt=0)] = 600.0
    first_token_limit_s: Annotated[float, Field(gt=0)] = 20.0
    chunk_limit_s: Annotated[float, Field(gt=0)] = 5.0
    request_limit_s: Annotated[float, Field(gt=0)] = 300.0
    queue_limit: Annotated[int, Field(ge=0)] = 256
    queue_wait_limit_s: Annotated[float, Field(gt=0)] = 10.0

    @model_validator(mode="after")
    def _check_limits(self) -> Self:
        if self.drain_limit_s <= self.balancer_notice_s:
            raise ValueError("drain_limit_s must be longer than balancer_notice_s")
        if self.request_limit_s <= self.first_token_limit_s:
            raise ValueError("request_limit_s must be longer than first_token_limit_s")
        return self


class ControlSettings(ListenSettings):
    """Settings of the control program; `port` accepts links."""


class AdminSettings(ListenSettings):
    """Settings of the administration program."""

    editor_token_sha256: tuple[Sha256Hex, ...] = ()
    reader_token_sha256: tuple[Sha256Hex, ...] = ()


class PeerSettings(_Section):
    """The control program of another entry VM."""

    node: Name
    zone: Name
    control_address: LinkAddress


class PlatformSettings(_Section):
    """Addresses of the platform's services."""

    table_address: HttpAddress
    objects_address: HttpAddress
    weights_address: HttpAddress
    vms_address: HttpAddress


class EngineSettings(_Section):
    """How the engines of the deployment authenticate and accept orders."""

    order_token: str | None = None
    refuse_old_fence: bool = False


class NodeSettings(_Section):
    """All settings of an entry VM."""

    node: Name
    zone: Name
    region: Name
    link_secret: Annotated[str, StringConstraints(min_length=16)]
    entry: EntrySettings
    control: ControlSettings
    admin: AdminSettings
    peers: tuple[PeerSettings, ...] = ()
    platform: PlatformSettings
    engines: EngineSettings = EngineSettings()
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"

    @model_validator(mode="after")
    def _check_ports(self) -> Self:
        sections = (self.entry, self.control, self.admin)
        listening = [
            (section.host, port)
            for section in sections
            for port in (section.port, section.ops_port)
        ]
        if len(set(listening)) < len(listening):
            raise ValueError("two programs have the same host and ports")
        return self
