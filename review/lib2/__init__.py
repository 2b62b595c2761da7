"""Stand-ins and helpers that the cases 6 to 10 share."""
