"""Small fakes at the interfaces, for tests of all modules."""

from tamarackhatch.testing._table_service import FakeTableService
from tamarackhatch.testing._table_service import StoreFault
from tamarackhatch.testing._views import FixedConfiguration
from tamarackhatch.testing._views import FixedInstances
from tamarackhatch.testing._views import FixedOwnership

__all__ = [
    "FakeTableService",
    "FixedConfiguration",
    "FixedInstances",
    "FixedOwnership",
    "StoreFault",
]
