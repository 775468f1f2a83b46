"""Metrics of the config package."""

from aioprometheus import Gauge

CONFIG_REVISION = Gauge(
    "gooseberryhall_config_revision", "Revision of the configuration in force"
)
