"""Test replacements ("stand-ins") for the systems around tarragonramp.

Tests, the demo and the benchmarks run the real daemons against these.
"""
