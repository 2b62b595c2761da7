"""Command lines: the daemon and the operators' tool."""
