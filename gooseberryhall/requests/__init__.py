"""Lifecycle of requests and detection of requests that crash servers."""
