"""OpenAPI description, generated from the routes and their models."""

import re
from typing import Any

from pydantic import BaseModel
from starlette.requests import Request
from starlette.responses import Response

from mulberryhitch import __version__
from mulberryhitch.configuration.models import CellDocument
from mulberryhitch.errors import error_types
from mulberryhitch.http.announcements import BackendServerBody
from mulberryhitch.http.entry import Entry
from mulberryhitch.http.routes import all_routes, json_response, route
from mulberryhitch.http.workloads import WorkloadBody
from mulberryhitch.outcomes import Outcome
from mulberryhitch.workers.protocol import WorkerAnnouncement

_BODY_MODELS: dict[tuple[str, str], type[BaseModel]] = {
    ('POST', '/v1/workloads'): WorkloadBody,
    ('PUT', '/v1/workers/{worker_id}'): WorkerAnnouncement,
    ('PUT', '/v1/backend-servers/{backend_server_id}'): BackendServerBody,
    ('PUT', '/v1/configuration'): CellDocument,
}
_OUTCOMES = [outcome.value for outcome in Outcome]


@route('/v1/openapi.json', 'GET')
async def show_description(entry: Entry, request: Request) -> Response:
    """Returns the OpenAPI description of this interface."""
    return json_response(description())


def description() -> dict[str, Any]:
    """Returns the OpenAPI document."""
    paths: dict[str, dict[str, Any]] = {}
    for registered in all_routes():
        path = registered.path.replace(':path}', '}')
        for method in registered.methods:
            summary = (registered.endpoint.__doc__ or '').strip()
            paths.setdefault(path, {})[method.lower()] = _operation(
                method, registered.path, summary
            )
    return {
        'openapi': '3.1.0',
        'info': {'title': 'mulberryhitch', 'version': __version__},
        'paths': paths,
        'components': {
            'schemas': {'Problem': _problem_schema()},
            'securitySchemes': {
                'token': {'type': 'http', 'scheme': 'bearer'},
            },
        },
        'security': [{'token': []}],
    }


def _operation(method: str, path: str, summary: str) -> dict[str, Any]:
    success = {
        'description': 'The response; its outcome is in a header.',
        'headers': {
            'Mulberryhitch-Outcome': {
                'schema': {'type': 'string', 'enum': _OUTCOMES},
            },
            'Mulberryhitch-Request-Id': {'schema': {'type': 'string'}},
        },
    }
    failure = {
        'description': 'A failure.',
        'content': {
            'application/problem+json': {
                'schema': {'$ref': '#/components/schemas/Problem'},
            },
        },
    }
    operation: dict[str, Any] = {
        'summary': summary,
        'parameters': [
            {
                'name': name,
                'in': 'path',
                'required': True,
                'schema': {'type': 'string'},
            }
            for name in re.findall(r'{(\w+)', path)
        ],
        'responses': {'2XX': success, 'default': failure},
    }
    model = _BODY_MODELS.get((method, path))
    if model is not None:
        schema = model.model_json_schema(ref_template='#/$defs/{model}')
        operation['requestBody'] = {
            'required': True,
            'content': {'application/json': {'schema': schema}},
        }
    return operation


def _problem_schema() -> dict[str, Any]:
    codes = [error_type.code for error_type in error_types()]
    names = ('type', 'title', 'detail', 'where', 'advice')
    properties: dict[str, Any] = {name: {'type': 'string'} for name in names}
    properties['status'] = {'type': 'integer'}
    properties['code'] = {'type': 'string', 'enum': codes}
    properties['outcome'] = {'type': 'string', 'enum': _OUTCOMES}
    return {
        'type': 'object',
        'required': ['code', 'detail', 'outcome', 'status'],
        'properties': properties,
    }
