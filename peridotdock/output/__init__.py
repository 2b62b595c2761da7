"""Formatting and writing of the output of commands."""
