"""Error answers of the forwarder itself."""

import orjson

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import HTTP_STATUS, ResultCode
from oriolegauge.core.runstate import RunState
from oriolegauge.forwarding.answer import Answer

_GATEWAY_TIMEOUT = 504
_BAD_GATEWAY = 502
_UNAVAILABLE = 503


def status_of(error: OriolegaugeError) -> int:
    """Return the HTTP status of the error.

    It is 502 or 504 if the request may have run.
    """
    if error.code is ResultCode.QUARANTINED:
        return _UNAVAILABLE
    status = HTTP_STATUS.get(error.code, _BAD_GATEWAY)
    if error.run_state is RunState.NOT_RUN:
        return status
    return status if status == _GATEWAY_TIMEOUT else _BAD_GATEWAY


async def refuse(
    answer: Answer,
    error: OriolegaugeError,
    request_id_header: str,
    request_id: str,
) -> None:
    """Answer with the error's code and the time to wait before a retry."""
    headers = [(b'Content-Type', b'application/json')]
    if request_id:
        name = request_id_header.encode()
        headers.append((name, request_id.encode('latin-1')))
    if error.retry_after_s is not None:
        headers.append((b'Retry-After', b'%.3f' % error.retry_after_s))
    body = {
        'code': int(error.code),
        'error': error.code.name.lower(),
        'message': error.message,
        'run_state': error.run_state.value,
        'retry_after_s': error.retry_after_s,
    }
    await answer.send_whole(status_of(error), headers, orjson.dumps(body))
