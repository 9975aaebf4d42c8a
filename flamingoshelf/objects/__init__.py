"""Configuration objects that operators change, and consistency checks of a set of them."""

from flamingoshelf.objects._catalog import Catalog
from flamingoshelf.objects._changes import Change, differing_fields
from flamingoshelf.objects._checks import check_objects, find_warnings
from flamingoshelf.objects._documents import (
    decode_objects,
    encode_object,
    encode_objects,
    object_digest,
    parse_document,
)
from flamingoshelf.objects._kinds import (
    SPEC_CLASSES,
    BackendServer,
    BackendState,
    Fleet,
    Key,
    Kind,
    Model,
    ModelVersion,
    NamedObject,
    ObjectId,
    ObjectSpec,
    Pool,
    PoolRole,
    Route,
    ServiceSpec,
    WeightStore,
    Workspace,
    references_of,
)

__all__ = [
    "BackendServer",
    "BackendState",
    "Catalog",
    "Change",
    "Fleet",
    "Key",
    "Kind",
    "Model",
    "ModelVersion",
    "NamedObject",
    "ObjectId",
    "ObjectSpec",
    "Pool",
    "PoolRole",
    "Route",
    "SPEC_CLASSES",
    "ServiceSpec",
    "WeightStore",
    "Workspace",
    "check_objects",
    "decode_objects",
    "differing_fields",
    "encode_object",
    "encode_objects",
    "find_warnings",
    "object_digest",
    "parse_document",
    "references_of",
]
