"""Engines that serve one model according to the catalog in force."""

from collections.abc import Callable, Collection, Iterator, Mapping

import attrs

from flamingoshelf.objects import BackendServer, BackendState, Catalog, Kind, ModelVersion

__all__ = ["EnginePool"]


@attrs.frozen(kw_only=True)
class EnginePool:
    """The engines of one model at one revision.

    Parameters
    ----------
    prefill, decode : mapping of str to BackendServer
        Engines by name.
    kv_bytes_per_token : int
        Size of the KV cache of one token.
    """

    prefill: Mapping[str, BackendServer]
    decode: Mapping[str, BackendServer]
    kv_bytes_per_token: int

    @classmethod
    def of(cls, catalog: Catalog, model_name: str) -> "EnginePool":
        """Return the engines of a model; the pool is empty if the model does not exist."""
        model = catalog.model(model_name)
        if model is None:
            return cls(prefill={}, decode={}, kv_bytes_per_token=1)
        version = catalog.get(Kind.MODEL_VERSION, model.version)
        assert isinstance(version, ModelVersion)
        return cls(
            prefill=dict(catalog.servers(model.prefill_pools)),
            decode=dict(catalog.servers(model.decode_pools)),
            kv_bytes_per_token=version.kv_bytes_per_token,
        )

    def addresses(self) -> dict[str, str]:
        """Return the addresses of all engines by name."""
        servers = {**self.prefill, **self.decode}
        return {name: server.address for name, server in servers.items()}

    @staticmethod
    def usable(
        servers: Mapping[str, BackendServer], is_allowed: Callable[[str], bool]
    ) -> Iterator[tuple[str, BackendServer]]:
        """Yield the servers that accept new requests and satisfy `is_allowed`."""
        for name, server in servers.items():
            if server.state == BackendState.LIVE and is_allowed(name):
                yield name, server

    @classmethod
    def preferred(
        cls,
        servers: Mapping[str, BackendServer],
        *,
        is_allowed: Callable[[str], bool],
        avoid: Collection[str],
    ) -> list[tuple[str, BackendServer]]:
        """Return the usable servers; those in `avoid` only if there is no other."""
        usable = list(cls.usable(servers, is_allowed))
        return [entry for entry in usable if entry[0] not in avoid] or usable
