"""The tasks of a daemon: they join pure decisions to the ports."""
