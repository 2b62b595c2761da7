"""Decisions as pure functions of frozen data; the clock and the random source are passed in."""
