"""Clients of the systems around a host: platform and endpoints."""
