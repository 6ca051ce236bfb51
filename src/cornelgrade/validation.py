"""Decodes JSON into the frozen classes and reports every problem at once, each with its path."""

import collections.abc
import pathlib
import types
import typing
from typing import Any, TypeVar

import msgspec

from cornelgrade import errors, manifest, settings

T = TypeVar("T", bound=msgspec.Struct)

_UNIONS = (typing.Union, types.UnionType)
_REQUIRED_SUFFIX = "required field is missing"


def decode(raw: bytes, kind: type[T], step: str = "decode") -> T:
    """Decode one JSON document.

    :param raw: the document.
    :param kind: the class to decode into; fields that it does not have are refused.
    :param step: the step written into the error.
    :raises BadInputError: with one entry for each problem, such as
        ``$.upstreams[3].slots: Expected `int` >= 1``.
    """
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.BadInputError((f"$: not JSON: {exc}",), step=step) from exc
    problems = tuple(_struct_problems(value, kind, "$"))
    if problems:
        raise errors.BadInputError(problems, step=step)
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        raise errors.BadInputError((f"$: {exc}",), step=step) from exc


def load_settings(path: str) -> settings.Settings:
    """Read a process's settings file.

    :raises BadInputError: if it cannot be read or fails a check.
    """
    return decode(read_file(path), settings.Settings, step="settings")


def load_manifest(raw: bytes) -> manifest.Manifest:
    """Decode a manifest; references between its parts are not looked at here.

    :raises BadInputError: if it fails a check.
    """
    return decode(raw, manifest.Manifest, step="manifest")


def read_file(path: str) -> bytes:
    """Read a file that a person named.

    :raises BadInputError: if it cannot be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise errors.BadInputError((f"{path}: {exc.strerror}",), step="read") from exc


def _problems(value: Any, annotation: Any, path: str) -> collections.abc.Iterator[str]:
    """Give the problems of a value of any annotated type."""
    bare = _without_metadata(annotation)
    if isinstance(bare, type) and issubclass(bare, msgspec.Struct):
        yield from _struct_problems(value, bare, path)
    elif typing.get_origin(bare) is tuple and isinstance(value, list):
        yield from _tuple_problems(value, annotation, path)
    elif typing.get_origin(bare) in _UNIONS:
        yield from _union_problems(value, bare, path)
    else:
        yield from _leaf_problems(value, annotation, path)


def _struct_problems(value: Any, kind: type, path: str) -> collections.abc.Iterator[str]:
    """Give the problems of an object and of all its fields."""
    if not isinstance(value, dict):
        yield f"{path}: Expected `object`, got `{_json_name(value)}`"
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in value:
        if name not in fields:
            yield f"{path}.{name}: unknown field"
    for name, field in fields.items():
        if name in value:
            yield from _problems(value[name], field.type, f"{path}.{name}")
        elif field.required:
            yield f"{path}.{name}: {_REQUIRED_SUFFIX}"


def _tuple_problems(value: list, annotation: Any, path: str) -> collections.abc.Iterator[str]:
    """Give the problems of an array's length and of its elements (``tuple[X, ...]``)."""
    element = typing.get_args(_without_metadata(annotation))[0]
    if typing.get_origin(annotation) is typing.Annotated:
        sized = typing.Annotated[(tuple[Any, ...], *annotation.__metadata__)]
        yield from _leaf_problems(value, sized, path)
    for index, item in enumerate(value):
        yield from _problems(item, element, f"{path}[{index}]")


def _union_problems(value: Any, union: Any, path: str) -> collections.abc.Iterator[str]:
    """Give the problems of an optional value; a union of two classes is not supported."""
    options = [arg for arg in typing.get_args(union) if arg is not types.NoneType]
    if value is None and len(options) < len(typing.get_args(union)):
        return
    if len(options) == 1:
        yield from _problems(value, options[0], path)
    else:
        yield from _leaf_problems(value, union, path)


def _leaf_problems(value: Any, annotation: Any, path: str) -> collections.abc.Iterator[str]:
    """Give the problem of a plain value, if it has one."""
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError as exc:
        yield f"{path}: {exc}"


def _without_metadata(annotation: Any) -> Any:
    """Strip ``Annotated``."""
    if typing.get_origin(annotation) is typing.Annotated:
        return typing.get_args(annotation)[0]
    return annotation


_JSON_NAMES = {dict: "object", list: "array", type(None): "null"}


def _json_name(value: Any) -> str:
    """Name a decoded value's type as msgspec's own messages do."""
    return _JSON_NAMES.get(type(value), type(value).__name__)
