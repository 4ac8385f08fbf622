"""Encodes calls and results in Thrift's binary protocol.

The IDL is loaded at run time. Data classes are copied to and from Thrift
structs field by field, by a plan that is cached for each class.
"""

import dataclasses
import functools
import typing
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol import cybin
from thriftpy2.thrift import TMessageType
from thriftpy2.transport import memory

from mulberryhitch.constants import BYTES_PER_MEBIBYTE
from mulberryhitch.errors import Problem, ProtocolError
from mulberryhitch.rpc import messages

_binary_protocol: Any = cybin.TCyBinaryProtocol  # type: ignore
_memory_buffer: Any = memory.TCyMemoryBuffer  # type: ignore

RecordType = typing.TypeVar('RecordType')

# Each struct ends with a zero byte, and the length of each short string has
# some: so they bound how many objects a frame becomes. A short string takes up
# to 72 bytes and has three of them, an empty announcement takes 210.
_BYTES_PER_ZERO_BYTE = 24
_MOST_BYTES_PER_ZERO_BYTE = 210
# The frame, the decoder's copy, and a string and its bytes.
_COPIES_OF_A_FRAME = 4
_DECODING_LIMIT_BYTES = 72 * BYTES_PER_MEBIBYTE

_IDL_PATH = Path(__file__).with_name('mulberryhitch.thrift')
_idl: Any = thriftpy2.load(str(_IDL_PATH), module_name='mulberryhitch_thrift')


@dataclass(frozen=True, slots=True)
class Call:
    """A request with its method, sequence id and header."""

    method: str
    sequence_id: int
    header: messages.CallHeader
    request: messages.Request


@dataclass(frozen=True, slots=True)
class CallResult:
    """The reply to a call, or the problem that it failed with."""

    method: str
    sequence_id: int
    reply: messages.Reply | None
    problem: Problem | None


@dataclass(frozen=True, slots=True)
class _FieldPlan:
    name: str
    struct: type | None
    is_list: bool
    is_bytes: bool


@functools.cache
def _field_plans(data_class: Any) -> tuple[_FieldPlan, ...]:
    hints = typing.get_type_hints(data_class)
    plans = []
    for data_field in dataclasses.fields(data_class):
        hint = hints[data_field.name]
        is_list = typing.get_origin(hint) is list
        value_type = typing.get_args(hint)[0] if is_list else hint
        struct = value_type if dataclasses.is_dataclass(value_type) else None
        plans.append(
            _FieldPlan(
                data_field.name,
                typing.cast('type | None', struct),
                is_list,
                is_bytes=value_type is bytes,
            ),
        )
    return tuple(plans)


def _to_struct(source: Any) -> Any:
    struct = getattr(_idl, type(source).__name__)()
    for plan in _field_plans(source.__class__):
        value = getattr(source, plan.name)
        if plan.struct is not None:
            if plan.is_list:
                value = [_to_struct(item) for item in value]
            else:
                value = _to_struct(value)
        setattr(struct, plan.name, value)
    return struct


def _from_struct(data_class: type, struct: Any) -> Any:
    values = []
    for plan in _field_plans(data_class):
        value = getattr(struct, plan.name, None)
        if value is None:
            raise ProtocolError(
                'missing field',
                where=f'{data_class.__name__}.{plan.name}',
            )
        values.append(_field_value(plan, value))
    return data_class(*values)


def _field_value(plan: _FieldPlan, value: Any) -> Any:
    if plan.struct is None:
        if plan.is_bytes and isinstance(value, str):
            return value.encode()
        return value
    if plan.is_list:
        return [_from_struct(plan.struct, item) for item in value]
    return _from_struct(plan.struct, value)


@functools.cache
def _message_types(method: str) -> tuple[Any, Any, type, type]:
    if method not in _idl.Node.thrift_services:
        raise ProtocolError('unknown method', where=method)
    args_type = getattr(_idl.Node, f'{method}_args')
    result_type = getattr(_idl.Node, f'{method}_result')
    request_name = args_type.thrift_spec[2][2].__name__
    reply_name = result_type.thrift_spec[0][2].__name__
    return (
        args_type,
        result_type,
        getattr(messages, request_name),
        getattr(messages, reply_name),
    )


def methods() -> tuple[str, ...]:
    """Returns the names of all methods."""
    return tuple(_idl.Node.thrift_services)


def encode_call(call: Call) -> bytes:
    """Encodes a call, without the frame's length prefix."""
    args = _message_types(call.method)[0]()
    args.header = _to_struct(call.header)
    args.request = _to_struct(call.request)
    return _encode(call.method, TMessageType.CALL, call.sequence_id, args)


def encode_result(call_result: CallResult) -> bytes:
    """Encodes a result, without the frame's length prefix."""
    result = _message_types(call_result.method)[1]()
    if call_result.problem is None:
        result.success = _to_struct(call_result.reply)
    else:
        result.failed = _idl.Failed(problem=_to_struct(call_result.problem))
    return _encode(
        call_result.method, TMessageType.REPLY, call_result.sequence_id, result
    )


def _encode(method: str, kind: int, sequence_id: int, struct: Any) -> bytes:
    buffer = _memory_buffer()
    protocol = _binary_protocol(buffer)
    protocol.write_message_begin(method, kind, sequence_id)
    protocol.write_struct(struct)
    protocol.write_message_end()
    return typing.cast('bytes', buffer.getvalue())


def encode_record(record: object) -> bytes:
    """Encodes a record as stored in a file, without a message header."""
    buffer = _memory_buffer()
    _binary_protocol(buffer).write_struct(_to_struct(record))
    return typing.cast('bytes', buffer.getvalue())


def decode_record(record_type: type[RecordType], content: bytes) -> RecordType:
    """Decodes a record as stored in a file, without a message header.

    Raises:
        ProtocolError: The bytes are not a valid record of this type.
    """
    struct = getattr(_idl, record_type.__name__)()
    try:
        _binary_protocol(_memory_buffer(content)).read_struct(struct)
    except Exception as error:
        raise ProtocolError(f'unreadable record: {error!r}') from error
    return typing.cast('RecordType', _from_struct(record_type, struct))


def decoded_size(frame: bytes) -> int:
    """Estimates the memory of a call that can be decoded, in bytes."""
    return len(frame) + frame.count(0) * _BYTES_PER_ZERO_BYTE


def decode_call(frame: bytes) -> Call:
    """Decodes a call.

    Raises:
        ProtocolError: The frame is not a call that this version supports, or
            it has far more values than the calls of a large cell.
    """
    most_bytes = (
        len(frame) * _COPIES_OF_A_FRAME
        + frame.count(0) * _MOST_BYTES_PER_ZERO_BYTE
    )
    if most_bytes > _DECODING_LIMIT_BYTES:
        raise ProtocolError(
            f'a frame that may take {most_bytes} bytes while it is decoded, '
            f'over {_DECODING_LIMIT_BYTES}'
        )
    return _decode(frame, _read_call)


def decode_result(frame: bytes) -> CallResult:
    """Decodes a result.

    Raises:
        ProtocolError: The frame is not a result that this version supports.
    """
    return _decode(frame, _read_result)


_Decoded = typing.TypeVar('_Decoded', Call, CallResult)


def _decode(
    frame: bytes, read: Callable[[str, int, Any], _Decoded]
) -> _Decoded:
    protocol = _binary_protocol(_memory_buffer(frame))
    try:
        method, _, sequence_id = protocol.read_message_begin()
        return read(method, sequence_id, protocol)
    except ProtocolError:
        raise
    except Exception as error:
        raise ProtocolError(f'unreadable frame: {error!r}') from error


def _read_call(method: str, sequence_id: int, protocol: Any) -> Call:
    args_type, _, request_type, _ = _message_types(method)
    args = args_type()
    protocol.read_struct(args)
    if args.header is None or args.request is None:
        raise ProtocolError('call without header or request', where=method)
    return Call(
        method,
        sequence_id,
        _from_struct(messages.CallHeader, args.header),
        _from_struct(request_type, args.request),
    )


def _read_result(method: str, sequence_id: int, protocol: Any) -> CallResult:
    _, result_type, _, reply_type = _message_types(method)
    result = result_type()
    protocol.read_struct(result)
    if result.failed is not None:
        problem = _from_struct(Problem, result.failed.problem)
        return CallResult(method, sequence_id, None, problem)
    if result.success is None:
        raise ProtocolError('result without reply or problem', where=method)
    reply = _from_struct(reply_type, result.success)
    return CallResult(method, sequence_id, reply, None)
