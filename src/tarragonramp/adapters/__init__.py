"""Libraries behind the ports."""
