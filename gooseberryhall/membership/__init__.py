"""Nodes, heartbeats, probes and evidence."""
