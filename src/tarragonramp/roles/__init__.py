"""Roles and tasks of a daemon, which connect decision logic to the ports."""
