"""Decisions as pure functions of frozen data, with clock and random source passed in."""
