"""Client of the platform's VM list."""

import json

from flamingoshelf.base import VirtualMachine, VmListSnapshot, VmState
from flamingoshelf.exceptions import ObjectServiceError, OutcomeUnknownError, ProtocolError
from flamingoshelf.object_service._http import PlatformHttpClient

__all__ = ["HttpVmList"]


class HttpVmList:
    """Read the VM list over HTTP; implements `flamingoshelf.base.VmList`.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._http = PlatformHttpClient(address=address)

    async def snapshot(self) -> VmListSnapshot:
        """Return the VM list.

        Raises
        ------
        ObjectServiceError
            The platform refused the call or did not answer.
        ProtocolError
            The response is not a valid VM list.
        """
        try:
            answer = await self._http.call("GET", "/vms", step="vm_list")
        except OutcomeUnknownError as error:
            message = error.message
            raise ObjectServiceError(message, step="vm_list", peer=self._address) from error
        try:
            return _parse_snapshot(answer.body)
        except (ValueError, KeyError, TypeError) as error:
            raise ProtocolError(repr(error), step="vm_list", peer=self._address) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()


def _parse_snapshot(body: bytes) -> VmListSnapshot:
    document = json.loads(body)
    vms = tuple(
        VirtualMachine(
            name=entry["name"],
            address=entry["address"],
            data_centre=entry["data_centre"],
            state=VmState(entry["state"]),
        )
        for entry in document["vms"]
    )
    if len({vm.name for vm in vms}) != len(vms):
        raise ValueError("a name is listed twice")
    return VmListSnapshot(version=int(document["version"]), vms=vms)
