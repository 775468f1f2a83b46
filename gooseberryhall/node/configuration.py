"""Follower of the operator's configuration."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from ..core.tasks import CreateTask
from ..exceptions import UnavailableError
from ..fleet.evacuation import EvacuationRows
from ..fleet.models import Configuration, EngineProfile, Limits, Service
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import (
    BACKGROUND_MAX_RETRY_DELAY_S,
    CONFIGURATION_RETRY_DELAY_S,
    CONFIGURATION_WATCH_WAIT_S,
    MAX_RETRY_DELAY_S,
    OWNER_CONFIGURATION_WATCH_WAIT_S,
    PEER_VERSION_GRACE_S,
)
from .directory import ConfigurationListener, Directory

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class ConfigurationFollower:
    """Keeps the newest configuration in force, from the store or on hints of peers."""

    directory: Directory
    create_task: CreateTask
    # Whether watches must be short, because no other node notices soon if one hangs.
    needs_short_watch: Callable[[], bool]
    # Called with the evacuations, which are in the same table.
    on_evacuations: Callable[[EvacuationRows], None] = lambda _: None
    # Called when the store came back from an earlier copy.
    on_went_back: Callable[[], None] = lambda: None
    current: Configuration | None = None
    # Whether the last call to the store failed.
    store_lost: bool = False
    _reading: bool = field(default=False)

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none yet."""
        return self.current.version if self.current else 0

    @property
    def limits(self) -> Limits:
        """Return the limits for callers that are in force."""
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
        """Return the profile of the service whose servers form groups."""
        service = self.engine_service
        return service.engine if service else None

    @property
    def group_sizes(self) -> dict[str, int]:
        """Return the number of members of a group, by model."""
        profile = self.profile
        return {model.name: model.size for model in profile.models} if profile else {}

    def start(self) -> None:
        """Start to follow the store."""
        listener = ConfigurationListener(
            self._configure,
            self._on_store_state,
            self._wait_s,
            self._max_retry_delay_s,
            self.on_evacuations,
            self._on_went_back,
        )
        self.create_task(self.directory.async_follow_configuration(listener))

    def fetch_version(self, version: int) -> None:
        """Read a version that a peer has, in case the watch of this node hangs."""
        if version <= self.version or self.store_lost or self._reading:
            return
        self._reading = True
        self.create_task(self._async_read(version))

    async def _async_read(self, version: int) -> None:
        try:
            await asyncio.sleep(PEER_VERSION_GRACE_S)
            if self.version >= version:
                return
            cfg = await self.directory.async_read_configuration()
        except UnavailableError as exc:
            log_event(_LOGGER, LogEvent.STORE_LOST, str(exc), table="configuration")
            await asyncio.sleep(CONFIGURATION_RETRY_DELAY_S)
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

    def _on_store_state(self, answered: bool) -> None:
        self.store_lost = not answered

    def _on_went_back(self, last_era: int, era: int) -> None:
        log_event(
            _LOGGER,
            LogEvent.STORE_WENT_BACK,
            "store came back from an earlier copy",
            level=logging.WARNING,
            last_era=last_era,
            era=era,
        )
        self.on_went_back()

    def _wait_s(self) -> float:
        if self.needs_short_watch():
            return OWNER_CONFIGURATION_WATCH_WAIT_S
        return CONFIGURATION_WATCH_WAIT_S

    def _max_retry_delay_s(self) -> float:
        return (
            MAX_RETRY_DELAY_S if self.current is None else BACKGROUND_MAX_RETRY_DELAY_S
        )
