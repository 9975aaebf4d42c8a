"""Desired state of each model engine according to the configured objects."""

from collections.abc import Mapping

import attrs

from flamingoshelf.objects import Catalog, Kind, ModelVersion, Pool, PoolRole

__all__ = ["DesiredServer", "desired_servers"]


@attrs.frozen(kw_only=True)
class DesiredServer:
    """Role and model versions that one engine should have.

    Parameters
    ----------
    name, address : str
        Name and address of the backend server.
    role : str
        Role of the server's pool.
    versions : mapping of str to str
        Version by model, for all models that the pool serves.
    """

    name: str
    address: str
    role: str
    versions: Mapping[str, str]


def desired_servers(catalog: Catalog) -> list[DesiredServer]:
    """Return the desired state of every engine; plain servers take no orders."""
    desired = []
    for pool_name in catalog.names(Kind.POOL):
        pool = catalog.get(Kind.POOL, pool_name)
        if not isinstance(pool, Pool) or pool.role is PoolRole.PLAIN:
            continue
        versions = _model_versions_of_pool(catalog, pool_name)
        for name, server in catalog.servers([pool_name]):
            desired.append(
                DesiredServer(
                    name=name, address=server.address, role=pool.role.value, versions=versions
                )
            )
    return desired


def model_version(catalog: Catalog, name: str) -> ModelVersion | None:
    """Return the model version called `name`, or None if there is none."""
    spec = catalog.get(Kind.MODEL_VERSION, name)
    return spec if isinstance(spec, ModelVersion) else None


def _model_versions_of_pool(catalog: Catalog, pool: str) -> dict[str, str]:
    """Return the version by model for all models that a pool serves."""
    versions = {}
    for name in catalog.model_names():
        model = catalog.model(name)
        if model is not None and pool in (*model.prefill_pools, *model.decode_pools):
            versions[name] = model.version
    return versions
