"""Stand-in for a plain service whose calls may not be repeated: bookings of vans or pickups."""

import asyncio
import os
from collections import Counter
from typing import Any

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from lab.records import Recorder
from lab.server import KeyWatch

__all__ = ["build_booking_app"]

_CRASH_STATUS = 3


class Booking:
    """Executions, counted by the booking's name; the records keep them beyond a crash."""

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder
        self._executions: Counter[str] = Counter()
        self._crash: str | None = None
        self._delay_s = 0.005

    async def book(self, request: Request) -> Response:
        """Execute ``POST .../NAME``; the name is the last part of the path."""
        name = request.path_params["path"].rsplit("/", 1)[-1]
        if request.method == "GET":
            return JSONResponse({"booking": name, "executions": self._executions[name]})
        await request.body()
        if self._crash == "before":
            os._exit(_CRASH_STATUS)
        self._executions[name] += 1
        self._recorder.write("execution", name)
        self._recorder.write("attempt", request.headers.get("x-attempt", ""))
        if self._crash == "after":
            os._exit(_CRASH_STATUS)
        await asyncio.sleep(self._delay_s)
        return JSONResponse({"booking": name}, 201)

    async def control(self, request: Request) -> Response:
        """Serve ``/control``: how to fail, and the executions."""
        if request.method == "POST":
            order: dict[str, Any] = await request.json()
            self._crash = order.get("crash", self._crash)
            self._delay_s = order.get("delay_s", self._delay_s)
        executions = dict(self._executions)
        return JSONResponse({"executions": executions, "keys_seen": KeyWatch.seen})


def build_booking_app(recorder: Recorder) -> Starlette:
    """Return the service as an ASGI application."""
    booking = Booking(recorder)
    return Starlette(
        routes=[
            Route("/control", booking.control, methods=["GET", "POST"]),
            Route("/{path:path}", booking.book, methods=["GET", "POST", "PUT", "DELETE"]),
        ],
        middleware=[Middleware(KeyWatch)],
    )
