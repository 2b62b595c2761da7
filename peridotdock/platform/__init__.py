"""The adapter to the users' platform: encodes and decodes its formats, and makes no decisions.

Header names, paths, tables, keys and terms of the platform's documentation stay in this package.
"""
