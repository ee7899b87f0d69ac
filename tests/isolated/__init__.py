"""Tests with real processes that run one at a time, after all others."""
