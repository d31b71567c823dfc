"""Reads JSON with comments into typed values; reports all findings."""

from tamarackhatch.documents._findings import Collector
from tamarackhatch.documents._kinds import Decimal
from tamarackhatch.documents._kinds import Duration
from tamarackhatch.documents._kinds import Flag
from tamarackhatch.documents._kinds import Integer
from tamarackhatch.documents._kinds import Kind
from tamarackhatch.documents._kinds import Percent
from tamarackhatch.documents._kinds import Size
from tamarackhatch.documents._kinds import Text
from tamarackhatch.documents._nodes import ArrayNode
from tamarackhatch.documents._nodes import Member
from tamarackhatch.documents._nodes import Node
from tamarackhatch.documents._nodes import ObjectNode
from tamarackhatch.documents._nodes import ScalarNode
from tamarackhatch.documents._objects import Key
from tamarackhatch.documents._objects import Nested
from tamarackhatch.documents._objects import read_object
from tamarackhatch.documents._objects import write_object
from tamarackhatch.documents._parser import build_node
from tamarackhatch.documents._parser import parse_text
from tamarackhatch.documents._parser import read_file

__all__ = [
    "ArrayNode",
    "Collector",
    "Decimal",
    "Duration",
    "Flag",
    "Integer",
    "Key",
    "Kind",
    "Member",
    "Nested",
    "Node",
    "ObjectNode",
    "Percent",
    "ScalarNode",
    "Size",
    "Text",
    "build_node",
    "parse_text",
    "read_file",
    "read_object",
    "write_object",
]
