"""The sizes of all models that a configuration has named, also of those it names no longer."""

from collections.abc import Mapping

from peridotdock.deployment import EngineSpec, ModelSize


class ModelSizes:
    """Sizes of the models of one service, over all versions of the configuration that were seen.

    Failure guarded against: a new configuration leaves out a model that engines hold. Its size
    counted as nothing, and the engines were ordered to load beyond their memory, all at once.
    """

    def __init__(self) -> None:
        self._spec: EngineSpec | None = None
        self._largest: dict[str, ModelSize] = {}
        self.newest: Mapping[str, ModelSize] = {}

    def follow(self, spec: EngineSpec) -> None:
        """Record the sizes in a configuration."""
        if spec is self._spec:
            return
        self._spec = spec
        self.newest = {name: model.size for name, model in spec.models.items()}
        for name, size in self.newest.items():
            self._largest[name] = size.largest(self._largest.get(name, size))

    def largest(self, name: str) -> ModelSize | None:
        """Return the largest size that a model has had; None where no configuration named it."""
        return self._largest.get(name)
