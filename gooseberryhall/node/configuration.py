"""Keeps the newest configuration in force."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.tasks import CreateTask
from ..exceptions import UnavailableError
from ..fleet.models import Configuration, EngineProfile, Limits, Service
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import (
    BACKGROUND_RETRY_S,
    CONFIGURATION_LAG_S,
    CONFIGURATION_RETRY_S,
    CONFIGURATION_WAIT_S,
    OWNER_CONFIGURATION_WAIT_S,
    RETRY_S,
)
from .directory import ConfigurationListener, Directory

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class ConfigurationFollower:
    """The configuration, by the store's feed and by the versions of peers."""

    directory: Directory
    create_task: CreateTask
    # Whether no other node notices soon that this one's question hangs.
    must_ask_often: Callable[[], bool]
    current: Configuration | None = None
    # Whether the store did not answer the last question.
    lost: bool = False
    _reading: bool = field(default=False)

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.current.version if self.current else 0

    @property
    def limits(self) -> Limits:
        """Return the limits of callers that are in force."""
        return self.current.limits if self.current else Limits()

    @property
    def engine_service(self) -> Service | None:
        """Return the service whose servers form groups."""
        if self.current is None:
            return None
        services = self.current.services.values()
        return next((service for service in services if service.engine), None)

    @property
    def profile(self) -> EngineProfile | None:
        """Return the models of the service whose servers form groups."""
        service = self.engine_service
        return service.engine if service else None

    @property
    def group_sizes(self) -> dict[str, int]:
        """Return the number of members of a group by model."""
        profile = self.profile
        return {model.name: model.size for model in profile.models} if profile else {}

    def start(self) -> None:
        """Start to follow the store."""
        listener = ConfigurationListener(
            self._configure, self._on_store, self._wait_s, self._retry_limit_s
        )
        self.create_task(self.directory.async_follow_configuration(listener))

    def fetch_version(self, version: int) -> None:
        """Read a version that a peer has, if this node's own question hangs."""
        if version <= self.version or self.lost or self._reading:
            return
        self._reading = True
        self.create_task(self._async_read(version))

    async def _async_read(self, version: int) -> None:
        try:
            await asyncio.sleep(CONFIGURATION_LAG_S)
            if self.version >= version:
                return
            cfg = await self.directory.async_read_configuration()
        except UnavailableError as exc:
            log_event(_LOGGER, LogEvent.STORE_LOST, str(exc), table="configuration")
            await asyncio.sleep(CONFIGURATION_RETRY_S)
            return
        finally:
            self._reading = False
        if cfg is not None:
            self._configure(cfg)

    def _configure(self, cfg: Configuration) -> None:
        if self.current is not None and cfg.version <= self.current.version:
            return
        self.current = cfg
        log_event(
            _LOGGER,
            LogEvent.CONFIG_IN_FORCE,
            "configuration is in force",
            version=cfg.version,
            routes=len(cfg.routes),
        )

    def _on_store(self, answered: bool) -> None:
        self.lost = not answered

    def _wait_s(self) -> float:
        if self.must_ask_often():
            return OWNER_CONFIGURATION_WAIT_S
        return CONFIGURATION_WAIT_S

    def _retry_limit_s(self) -> float:
        return RETRY_S if self.current is None else BACKGROUND_RETRY_S
