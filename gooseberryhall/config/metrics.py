"""Metrics of the config concern."""

from aioprometheus import Gauge

CONFIG_REVISION = Gauge(
    "gooseberryhall_config_revision", "Revision of the configuration in force"
)
