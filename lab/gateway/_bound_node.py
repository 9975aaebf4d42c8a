"""Runs a gateway node whose connections come from an address of its own.

``python -m lab.gateway._bound_node IP ARGUMENT...`` runs ``python -m flamingoshelf.platform
ARGUMENT...``. All nodes of a site share the loopback interface; the address tells them apart.
"""

import asyncio
import runpy
import sys
from typing import Any


def main() -> None:
    """Run the node."""
    ip = sys.argv.pop(1)
    create_connection = asyncio.BaseEventLoop.create_connection

    async def create_bound_connection(
        loop: asyncio.BaseEventLoop,
        factory: Any,
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> Any:
        if host is not None:
            options.setdefault("local_addr", (ip, 0))
        return await create_connection(loop, factory, host, port, **options)

    asyncio.BaseEventLoop.create_connection = create_bound_connection  # type: ignore
    runpy.run_module("flamingoshelf.platform", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
