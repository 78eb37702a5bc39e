"""Checks an operator's configuration whole, before anything is kept; faults are named by their place."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
from expression import Error, Ok, Result
from marshmallow import INCLUDE, Schema, ValidationError, fields, validate, validates_schema

from wickspring.common.errors import ErrorDetail, ErrorKind
from wickspring.common.routing_table import parse_version

TARGET_PAST_TIMEOUT_S = 60.0  # a target so much above its route's timeout is a slip of the pen
MOST_REASONS = 300  # characters of what is answered
MOST_VERSION = 2**62
MOST_FIGURE = 1e9  # of seconds, weights, rates and bursts: sums of them stay numbers


def _version(text: str) -> None:
    try:
        if parse_version(text) > MOST_VERSION:
            raise ValueError("too high a version")
    except ValueError as error:
        raise ValidationError(str(error)) from error


class _Lenient(Schema):
    """Fields that are not known are kept: the document goes on as it came."""

    class Meta:
        unknown = INCLUDE


def _number(above: bool = False, **more: Any) -> fields.Float:
    """A figure from 0 on, or above it."""
    bounds = validate.Range(min=0, max=MOST_FIGURE, min_inclusive=not above)
    return fields.Float(allow_nan=False, validate=bounds, **more)


class _Weighted(_Lenient):
    service = fields.String(required=True)
    weight = _number(required=True)


class _Effect(_Lenient):
    service = fields.String()
    weighted = fields.List(fields.Nested(_Weighted), validate=validate.Length(min=1))
    timeout_s = _number(above=True, required=True)
    max_tries = fields.Integer(required=True, strict=True, validate=validate.Range(min=1))

    @validates_schema
    def _one_way(self, data: Mapping[str, Any], **_: Any) -> None:
        if ("service" in data) == ("weighted" in data):
            raise ValidationError("names either service or weighted")
        if "weighted" in data and not any(one["weight"] > 0 for one in data["weighted"]):
            raise ValidationError("no weight above 0", "weighted")


class _Pattern(_Lenient):
    path_prefix = fields.String(required=True, validate=validate.Regexp(r"/([^?#]*/)?\Z"))


class _Rule(_Lenient):
    name = fields.String(required=True)
    route_kind = fields.String(required=True, validate=validate.OneOf(("pure", "effectful")))
    target_s = _number(required=True)
    priority = fields.Integer(validate=validate.Range(min=0))
    public = fields.Boolean()
    pattern = fields.Nested(_Pattern, required=True)
    effect = fields.Nested(_Effect, required=True)

    @validates_schema
    def _target(self, data: Mapping[str, Any], **_: Any) -> None:
        if data["target_s"] >= data["effect"]["timeout_s"] + TARGET_PAST_TIMEOUT_S:
            raise ValidationError("exceeds its route's timeout by a minute or more", "target_s")


class _Socket(_Lenient):
    host = fields.String(required=True, validate=validate.Length(min=1))
    policy = fields.List(fields.Nested(_Rule), required=True)


class _Backend(_Lenient):
    name = fields.String(required=True, validate=validate.Length(min=1))
    health_path = fields.String(validate=validate.Regexp(r"/"))
    max_conns = fields.Integer(validate=validate.Range(min=0))
    protocol = fields.String(validate=validate.OneOf(("h1",)))
    tls = fields.Boolean(validate=validate.OneOf((False,)))


class _Tenant(_Lenient):
    name = fields.String(required=True, validate=validate.Length(min=1))
    api_keys = fields.List(fields.String(validate=validate.Length(min=1)), required=True)
    priority = fields.Integer(validate=validate.Range(min=0))
    rate_per_s = _number()
    burst = _number()


class _Limits(_Lenient):
    max_header_bytes = fields.Integer(validate=validate.Range(min=256))
    max_body_bytes = fields.Integer(validate=validate.Range(min=0))
    header_timeout_s = _number(above=True)
    idle_timeout_s = _number(above=True)


class _Config(_Lenient):
    generation = fields.String(required=True, validate=_version)
    limits = fields.Nested(_Limits)
    tenants = fields.List(fields.Nested(_Tenant))
    sockets = fields.List(fields.Nested(_Socket), required=True)
    backends = fields.List(fields.Nested(_Backend), required=True)

    @validates_schema
    def _fits(self, data: Mapping[str, Any], **_: Any) -> None:
        names = [one["name"] for one in data["backends"]]
        _once("backends", names)
        known, places = set(names), []
        for socket in data["sockets"]:
            for rule in socket["policy"]:
                effect = rule["effect"]
                named = [one["service"] for one in effect.get("weighted", ())]
                for service in [effect["service"]] if "service" in effect else named:
                    if service not in known:
                        reason = f"route {rule['name']} names unknown service {service}"
                        raise ValidationError(reason, "sockets")
                places.append((socket["host"].lower(), rule["pattern"]["path_prefix"]))
        _once("sockets", places)
        tenants = data.get("tenants", ())
        _once("tenants", [one["name"] for one in tenants])
        _once("tenants", [key for one in tenants for key in set(one["api_keys"])], "a key is shared")


def _once(where: str, names: list[Any], reason: str = "named twice") -> None:
    if len(names) != len(set(names)):
        raise ValidationError(reason, where)


_schema = _Config()


def validate_config(body: bytes) -> Result[int, ErrorDetail]:
    """Check a whole document; its version, or the fault that its sender is told."""
    try:
        tree = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(ErrorDetail(ErrorKind.INVALID_CONFIG, f"cannot be read whole: {error}"))
    if not isinstance(tree, dict):
        return Error(ErrorDetail(ErrorKind.INVALID_CONFIG, "not an object"))
    try:
        _schema.load(tree)
    except ValidationError as error:
        return Error(ErrorDetail(ErrorKind.INVALID_CONFIG, str(error.messages)[:MOST_REASONS]))
    except RecursionError:
        return Error(ErrorDetail(ErrorKind.INVALID_CONFIG, "too deep"))
    return Ok(parse_version(tree["generation"]))
