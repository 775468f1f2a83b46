"""Logs, metrics, time line and the ops port."""
