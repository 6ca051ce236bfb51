"""Decode JSON into typed structs and report all problems at once, each with its path."""

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
    :param kind: the struct class to decode into; unknown fields are rejected if it forbids them.
    :param step: the step recorded in the error.
    :raises BadInputError: with one entry per problem, such as
        ``$.upstreams[3].slots: Expected `int` >= 1``.
    """
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.BadInputError((f"$: not JSON: {exc}",), step=step) from exc
    problems = tuple(_find_struct_problems(value, kind, "$"))
    if problems:
        raise errors.BadInputError(problems, step=step)
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        raise errors.BadInputError((f"$: {exc}",), step=step) from exc


def load_settings(path: str) -> settings.Settings:
    """Read a process's settings file.

    :raises BadInputError: if the file cannot be read or is invalid.
    """
    return decode(read_file(path), settings.Settings, step="settings")


def load_manifest(raw: bytes) -> manifest.Manifest:
    """Decode a manifest without checking references between its parts.

    :raises BadInputError: if the manifest is invalid.
    """
    return decode(raw, manifest.Manifest, step="manifest")


def read_file(path: str) -> bytes:
    """Read a file given by the user.

    :raises BadInputError: if the file cannot be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise errors.BadInputError((f"{path}: {exc.strerror}",), step="read") from exc


def _find_problems(value: Any, annotation: Any, path: str) -> collections.abc.Iterator[str]:
    """Yield the problems of a value of any annotated type."""
    plain_type = _strip_metadata(annotation)
    if isinstance(plain_type, type) and issubclass(plain_type, msgspec.Struct):
        yield from _find_struct_problems(value, plain_type, path)
    elif typing.get_origin(plain_type) in (tuple, list) and isinstance(value, list):
        yield from _find_array_problems(value, annotation, path)
    elif typing.get_origin(plain_type) in _UNIONS:
        yield from _find_union_problems(value, plain_type, path)
    else:
        yield from _find_value_problems(value, annotation, path)


def _find_struct_problems(
    value: Any, kind: type[msgspec.Struct], path: str
) -> collections.abc.Iterator[str]:
    """Yield the problems of an object and its fields."""
    if not isinstance(value, dict):
        yield f"{path}: Expected `object`, got `{_get_json_type_name(value)}`"
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in value if kind.__struct_config__.forbid_unknown_fields else ():
        if name not in fields:
            yield f"{path}.{name}: unknown field"
    for name, field in fields.items():
        if name in value:
            yield from _find_problems(value[name], field.type, f"{path}.{name}")
        elif field.required:
            yield f"{path}.{name}: {_REQUIRED_SUFFIX}"


def _find_array_problems(value: list, annotation: Any, path: str) -> collections.abc.Iterator[str]:
    """Yield the problems of an array (``tuple[X, ...]`` or ``list[X]``): length and elements."""
    element = typing.get_args(_strip_metadata(annotation))[0]
    if typing.get_origin(annotation) is typing.Annotated:
        length_annotation = typing.Annotated[(tuple[Any, ...], *annotation.__metadata__)]
        yield from _find_value_problems(value, length_annotation, path)
    for index, item in enumerate(value):
        yield from _find_problems(item, element, f"{path}[{index}]")


def _find_union_problems(value: Any, union: Any, path: str) -> collections.abc.Iterator[str]:
    """Yield the problems of an optional value; a union of two structs is not supported."""
    options = [arg for arg in typing.get_args(union) if arg is not types.NoneType]
    if value is None and len(options) < len(typing.get_args(union)):
        return
    if len(options) == 1:
        yield from _find_problems(value, options[0], path)
    else:
        yield from _find_value_problems(value, union, path)


def _find_value_problems(value: Any, annotation: Any, path: str) -> collections.abc.Iterator[str]:
    """Yield the problem of a value that needs no recursion, if it has one."""
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError as exc:
        yield f"{path}: {exc}"


def _strip_metadata(annotation: Any) -> Any:
    """Return the type inside ``Annotated``."""
    if typing.get_origin(annotation) is typing.Annotated:
        return typing.get_args(annotation)[0]
    return annotation


_JSON_TYPE_NAMES = {dict: "object", list: "array", type(None): "null"}


def _get_json_type_name(value: Any) -> str:
    """Return the type name that msgspec's messages use for a decoded value."""
    return _JSON_TYPE_NAMES.get(type(value), type(value).__name__)
