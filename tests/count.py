"""A nose2 plugin that collects the ids of passed and failed tests."""

from nose2.events import Plugin

passed: set[str] = set()
failed: set[str] = set()


class Count(Plugin):
    configSection = "count"
    alwaysOn = True

    def testOutcome(self, event):  # noqa: N802
        good = event.outcome in ("passed", "skipped") or event.expected
        if event.outcome == "subtest":
            good = event.exc_info is None
        (passed if good else failed).add(event.test.id())
