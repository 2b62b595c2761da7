"""A nose2 plugin that keeps the garbage collector's pauses out of the tests.

All hosts, stand-ins and clients of a test share one process, so a full collection stops them all at
once, for longer the more objects earlier tests and imports have left. Daemons freeze theirs too.
"""

import gc

from nose2.events import Plugin


class Collection(Plugin):
    configSection = "collection"
    alwaysOn = True

    def startTest(self, event):  # noqa: N802
        gc.collect()
        gc.freeze()
