"""Relaying: requests of routes carried to endpoints, whole or as streams, each answered once."""
