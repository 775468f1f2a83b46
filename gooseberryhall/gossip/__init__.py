"""Datagrams in which nodes exchange traffic, stalls and zone announcements."""
