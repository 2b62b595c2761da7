"""Schemas of settings, messages and manifest, with the data classes generated from them."""
