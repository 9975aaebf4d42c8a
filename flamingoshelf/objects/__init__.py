"""Objects that operators change, and the checks of a whole set."""

from flamingoshelf.objects._catalog import Catalog
from flamingoshelf.objects._checks import check_objects
from flamingoshelf.objects._documents import (
    decode_objects,
    encode_object,
    encode_objects,
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
    "encode_object",
    "encode_objects",
    "parse_document",
    "references_of",
]
