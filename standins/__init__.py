"""Small stand-ins for the systems around tarragonramp, for tests and the demo."""
