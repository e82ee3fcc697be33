"""JSON error responses of refused and failed requests."""

from aiohttp import web

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import HTTP_STATUS, ResultCode


def error_fields(error: OriolegaugeError, request_id: str) -> dict[str, object]:
    """Return the JSON fields of an error."""
    return {
        'code': int(error.code),
        'name': error.code.name.lower(),
        'message': error.message,
        'run_state': error.run_state.value,
        'retry_after_s': error.retry_after_s,
        'request_id': request_id,
    }


def error_response(
    error: OriolegaugeError, request_id: str = ''
) -> web.Response:
    """Return the JSON error response of a refused or failed request."""
    headers = {'X-Request-Id': request_id}
    if error.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, round(error.retry_after_s)))
    return web.json_response(
        {'error': error_fields(error, request_id)},
        status=HTTP_STATUS.get(error.code, HTTP_STATUS[ResultCode.INTERNAL]),
        headers=headers,
    )
