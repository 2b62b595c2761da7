"""The sizes of all models that a configuration has named, also of those it names no longer."""

from collections.abc import Iterator, Mapping
from typing import Any

from peridotdock.deployment import EngineSpec, ModelSize
from peridotdock.ranges import MAX_AMOUNT


class ModelSizes:
    """Sizes of the models of one service, over all versions of the configuration that were seen.

    Failure guarded against: a new configuration leaves out a model that engines hold. Its size
    counted as nothing, and the engines were ordered to load beyond their memory, all at once.
    """

    def __init__(self) -> None:
        self._spec: EngineSpec | None = None
        self._largest: dict[str, ModelSize] = {}
        self.inherited: Mapping[str, ModelSize] = {}
        self.newest: Mapping[str, ModelSize] = {}

    def follow(self, spec: EngineSpec) -> None:
        """Record the sizes in a configuration."""
        if spec is self._spec:
            return
        self._spec = spec
        self.newest = {name: model.size for name, model in spec.models.items()}
        for name, size in self.newest.items():
            self._largest[name] = size.largest(self._largest.get(name, size))

    def inherit(self, sizes: Mapping[str, ModelSize]) -> None:
        """Record the sizes of the models that engines hold, as the holder before knew them."""
        self.inherited = sizes
        for name, size in sizes.items():
            self._largest[name] = size.largest(self._largest.get(name, size))

    def held(self, name: str) -> ModelSize | None:
        """Return the size of a model that an engine holds and that this host did not load.

        Failure guarded against: a model became smaller and was loaded again, and each new holder
        counts it by its largest size and unloads others for what would fit.
        """
        return self.inherited.get(name) or self._largest.get(name)

    def largest(self, name: str) -> ModelSize | None:
        """Return the largest size that a model has had; None where no configuration named it."""
        return self._largest.get(name)


def encode_sizes(sizes: Mapping[str, Mapping[str, ModelSize]]) -> dict[str, Any]:
    """Return sizes by service and model as they stand in the lease's row."""
    return {
        service: {name: [size.weights_mb, size.adapter_mb] for name, size in rows.items()}
        for service, rows in sizes.items()
    }


def decode_sizes(raw: Any) -> Iterator[tuple[str, str, ModelSize]]:
    """Yield service, model and size from the lease's row; what can't be read is left out."""
    rows = raw.items() if isinstance(raw, dict) else ()
    for service, sizes in rows:
        for name, found in sizes.items() if isinstance(sizes, dict) else ():
            try:
                weights_mb, adapter_mb = map(float, found)
            except (TypeError, ValueError, OverflowError):
                continue
            if 0 <= weights_mb <= MAX_AMOUNT and 0 <= adapter_mb <= MAX_AMOUNT:
                yield service, name, ModelSize(weights_mb, adapter_mb)
