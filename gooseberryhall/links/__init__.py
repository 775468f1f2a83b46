"""Authenticated WebSocket links between the processes of the system."""
