"""Prometheus metrics with bounded sets of label values."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

FIRST_TOKEN_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.35, 0.49, 0.75, 1.0, 2.0, 5.0, 10.0)
PAUSE_BUCKETS = (0.02, 0.04, 0.076, 0.1, 0.15, 0.2, 0.4, 0.75, 1.5)
MAX_ITEM_LABELS = 1000
OTHER_LABEL = "other"


class Metrics:
    """All metrics of one process, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._items: set[str] = set()
        self.requests = self._counter("requests", "Requests ended, by outcome.", "outcome")
        self.sends = self._counter("sends", "Requests sent to endpoints, by attempt.", "attempt")
        self.retries = self._counter(
            "retries", "Retries of requests to endpoints, by decision of the budget.", "decision"
        )
        self.silent_sends = self._counter(
            "silent_sends", "Sends whose endpoint sent nothing for longer than expected."
        )
        self.blocked = Gauge(
            "peridotdock_blocked",
            "Requests and prompt parts that this host does not send, as they end endpoints.",
            ["kind"],
            registry=self.registry,
        )
        self.broken_answers = self._counter(
            "broken_answers",
            "Answers that broke off with the connection to their endpoint, by what had arrived.",
            "begun",
        )
        self.late_frames = self._counter("late_frames", "Answers that came for nobody.")
        self.orders = self._counter("orders", "Orders sent to engines.", "action", "outcome")
        self.reports = self._counter("reports", "Reports asked of engines.", "outcome")
        self.platform = self._counter("platform", "Calls to the platform.", "call", "outcome")
        self.peer_bytes = self._counter("peer_bytes", "Bytes to and from hosts.", "direction")
        self.fact_bytes = self._counter(
            "fact_bytes", "Bytes of facts sent to other hosts, by what they tell.", "topic"
        )
        self.quota_units = self._counter(
            "quota_units", "Units of workspaces' quotas, by decision.", "decision"
        )
        self.streams_taken_up = self._counter(
            "streams_taken_up",
            "Streams that callers took up again, by how their software version is known.",
            "source",
        )
        self.quota_share = Gauge(
            "peridotdock_quota_share",
            "Part of all quotas that this host grants to others, 0 if it is not the hub.",
            registry=self.registry,
        )
        self.tokens = self._counter("tokens", "Chunks passed on to callers.")
        self.in_work = Gauge(
            "peridotdock_in_work", "Requests in work on this host.", registry=self.registry
        )
        self.generation = Gauge(
            "peridotdock_manifest_generation", "Manifest in force.", registry=self.registry
        )
        self.view_age = Gauge(
            "peridotdock_view_age_seconds",
            "Seconds since this host's view of a store's table was known to be new.",
            ["table"],
            registry=self.registry,
        )
        self.store_era = Gauge(
            "peridotdock_store_era",
            "Era of the platform's store, which rises when it returns from an older copy.",
            registry=self.registry,
        )
        self.endpoints_unreachable = Gauge(
            "peridotdock_endpoints_unreachable",
            "1 while this host can't connect to any endpoint, else 0.",
            registry=self.registry,
        )
        self.accepted = self._counter("accepted", "Connections accepted.")
        self.late_answers = self._counter("late_answers", "Answers that came after their deadline.")
        self.loop_lag = Gauge(
            "peridotdock_loop_lag_seconds",
            "The most by which a timer was late in the last second.",
            registry=self.registry,
        )
        self.descriptors = Gauge(
            "peridotdock_descriptors",
            "Open descriptors, and the most that may be open.",
            ["state"],
            registry=self.registry,
        )
        self.longest_pause = Histogram(
            "peridotdock_longest_pause_seconds",
            "The longest pause between two events of a stream, by route.",
            ["route"],
            buckets=PAUSE_BUCKETS,
            registry=self.registry,
        )
        self.first_token = Histogram(
            "peridotdock_first_token_seconds",
            "Time to the first token, by model or adapter.",
            ["item"],
            buckets=FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"peridotdock_{name}", text, labels, registry=self.registry)

    def item_label(self, item: str) -> str:
        """Return ``item``, or ``OTHER_LABEL`` once ``MAX_ITEM_LABELS`` items have labels."""
        if item in self._items:
            return item
        if len(self._items) >= MAX_ITEM_LABELS:
            return OTHER_LABEL
        self._items.add(item)
        return item

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
