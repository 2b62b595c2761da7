"""The adapter to the users' platform: its names, formats and calls, decoded once. No decisions.

Nothing outside this package knows a header, path, table, key or word of the platform's pages.
"""
