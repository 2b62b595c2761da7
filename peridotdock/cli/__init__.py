"""Command-line programs: the daemons and the operators' tool."""
