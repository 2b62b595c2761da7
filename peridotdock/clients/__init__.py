"""Clients of the external systems that a host calls: the platform and the endpoints."""
