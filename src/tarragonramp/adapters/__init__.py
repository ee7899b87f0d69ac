"""Adapters: implementations of the ports on top of third-party libraries."""
