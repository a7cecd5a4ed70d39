"""Calls between routers of a deployment, as ``fleet.thrift`` defines them.

Parsing the definition takes a large part of the processor time at startup.
Its structs are therefore defined here, and a test compares them with it.
"""

from typing import Any

from thriftpy2.thrift import TException, TPayload, TType, gen_init

#: Type and name of each argument of a call, in order.
Arguments = tuple[tuple[int, str], ...]


class Refused(TException):
    """The call was refused."""

    thrift_spec = {1: (TType.STRING, 'reason', False)}  # noqa: WPS115
    default_spec = [('reason', None)]  # noqa: WPS115


def _make_struct(name: str, spec: dict[int, tuple[Any, ...]]) -> type:
    names = [spec[number][1] for number in sorted(spec)]
    made = type(name, (TPayload,), {})
    return gen_init(made, spec, [(field, None) for field in names])


def _make_arguments(name: str, words: Arguments) -> type:
    """Make the struct of the arguments of a call."""
    fields = enumerate(words, start=1)
    spec = {number: (kind, word, False) for number, (kind, word) in fields}
    return _make_struct(f'{name}_args', spec)


def _make_answer(name: str, kind: int) -> type:
    """Make the struct of the result of a call, or of its refusal."""
    success = (kind, 'success', False)
    refusal = (TType.STRUCT, 'no', Refused, False)
    made = _make_struct(f'{name}_result', {0: success, 1: refusal})
    made.oneway = False
    return made


def _add_call(name: str, answer: int, words: Arguments) -> None:
    """Add a call to the service by the conventions of thriftpy2."""
    setattr(Fleet, f'{name}_args', _make_arguments(name, words))
    setattr(Fleet, f'{name}_result', _make_answer(name, answer))
    Fleet.thrift_services.append(name)


class Fleet:
    """The service that routers offer each other."""

    thrift_services: list[str] = []


_add_call('exchange', TType.BINARY, ((TType.BINARY, 'news'),))
_add_call(
    'lend',
    TType.I64,
    (
        (TType.STRING, 'workspace'),
        (TType.I64, 'tokens'),
        (TType.STRING, 'borrower'),
        (TType.I64, 'spare'),
    ),
)
_add_call('borrow', TType.BINARY, ((TType.BINARY, 'loan'),))
_add_call(
    'take_back',
    TType.I64,
    (
        (TType.STRING, 'workspace'),
        (TType.I64, 'tokens'),
        (TType.STRING, 'giver'),
    ),
)
_add_call('newer_servers', TType.BINARY, ((TType.I64, 'above'),))
_add_call('newer_configuration', TType.BINARY, ((TType.I64, 'above'),))
_add_call('add_streams', TType.I64, ((TType.BINARY, 'records'),))
_add_call('keep_streams', TType.I64, ((TType.BINARY, 'replicas'),))
_add_call('find_stream', TType.BINARY, ((TType.STRING, 'key'),))
_add_call('list_broken', TType.BINARY, ((TType.BINARY, 'servers'),))
