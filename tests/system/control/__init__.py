"""Tests of groups, configuration and planned stops of a cluster under faults."""
