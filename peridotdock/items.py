"""Items: what can be loaded on an engine, which is a model or adapter at one version."""

from dataclasses import dataclass

from peridotdock.schema.manifest import Adapter, Model, Target


@dataclass(frozen=True)
class Item:
    """A model or adapter at one version, under the key that ledgers and engines use.

    The key of an adapter includes its base, since on another base it takes separate memory.
    ``bytes`` count on each of ``span`` accelerators.
    """

    key: str
    name: str
    bytes: int
    span: int
    base: str
    target: Target
    copies: int

    @property
    def is_adapter(self) -> bool:
        """Tell whether the item is an adapter, which needs its base."""
        return bool(self.base)


def make_model(model: Model) -> Item:
    """Return the item of a base model."""
    key = f"{model.id}@{model.version}"
    return Item(key, model.id, model.bytes, model.span, "", model.target, model.copies)


def make_adapter(adapter: Adapter, base: Item) -> Item:
    """Return the item of an adapter on ``base``."""
    key = f"{adapter.id}@{adapter.version}~{base.key}"
    return Item(key, adapter.id, adapter.bytes, base.span, base.key, base.target, 1)


def name_of(key: str) -> str:
    """Return the name that callers use for the item with a key."""
    return key.split("@", 1)[0]
