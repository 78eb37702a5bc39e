"""Validates an operator's configuration as a whole, before any of it is stored.

Errors name the place in the document. Fields that are not known here are allowed: the document is
forwarded unchanged, and data planes of a later version may know them.

Rules that were added after configurations had been acknowledged without them hold for new ones alone, in the
subclasses of the schemas at the end. What was acknowledged before stays in use, in files and in snapshots.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Iterable, Iterator, Sequence
from typing import NamedTuple, NotRequired, TypedDict

import msgspec
from expression import Error, Ok, Result
from marshmallow import INCLUDE, Schema, ValidationError, fields, validate, validates_schema

from wickspring.common.errors import ErrorDetail, ErrorKind
from wickspring.common.routes import host_key, prefix_key
from wickspring.common.routing_table import parse_version
from wickspring.net.octets import is_field_value

TARGET_MARGIN_S = 60.0  # a target latency that far above its route's timeout is a mistake
MAX_REASON_CHARACTERS = 300
MAX_VERSION = 2**62
MAX_NUMBER = 1e9  # of seconds, weights, rates and bursts: sums of them stay finite


class WeightedServiceDocument(TypedDict):
    """One of several services that share the requests of a route."""

    service: str
    weight: float


class EffectDocument(TypedDict):
    """Where a route's requests go: to `service`, or to the services of `weighted`."""

    service: NotRequired[str]
    weighted: NotRequired[list[WeightedServiceDocument]]
    timeout_s: float
    max_tries: int


class PatternDocument(TypedDict):
    """Which requests a route is for."""

    path_prefix: str


class RuleDocument(TypedDict):
    """A route; the fields that are checked together with others."""

    name: str
    target_s: float
    pattern: PatternDocument
    effect: EffectDocument


class SocketDocument(TypedDict):
    """A host and its routes."""

    host: str
    policy: list[RuleDocument]


class BackendDocument(TypedDict):
    """A service; the fields that are checked together with others."""

    name: str


class TenantDocument(TypedDict):
    """A tenant; the fields that are checked together with others."""

    name: str
    api_keys: list[str]


class ConfigDocument(TypedDict):
    """The whole configuration; the fields that are checked together with others."""

    sockets: list[SocketDocument]
    backends: list[BackendDocument]
    tenants: NotRequired[list[TenantDocument]]


def _validate_version(text: str) -> None:
    try:
        version = parse_version(text)
    except ValueError as error:
        raise ValidationError(str(error)) from error
    if version > MAX_VERSION:
        raise ValidationError("too high a version")


def _validate_field_value(text: str) -> None:
    if not is_field_value(text):
        raise ValidationError("no header can carry it: a control character, or a blank at an end")


def _number(required: bool = False, positive: bool = False) -> fields.Float:
    """Return a field for a number from 0 on, or above 0."""
    bounds = validate.Range(min=0, max=MAX_NUMBER, min_inclusive=not positive)
    return fields.Float(required=required, allow_nan=False, validate=bounds)


class _Flag(fields.Boolean):
    """A truth value: `true` or `false`, and no text or number that one could be read into."""

    def _deserialize(self, value: object, *_: object, **__: object) -> bool:
        if not isinstance(value, bool):
            raise ValidationError("neither true nor false")
        return value


class _OpenSchema(Schema):
    """A schema that allows fields it does not know."""

    class Meta:
        unknown = INCLUDE


class _WeightedService(_OpenSchema):
    service = fields.String(required=True)
    weight = _number(required=True)


class _Effect(_OpenSchema):
    service = fields.String()
    weighted = fields.List(fields.Nested(_WeightedService), validate=validate.Length(min=1))
    timeout_s = _number(positive=True, required=True)
    max_tries = fields.Integer(required=True, strict=True, validate=validate.Range(min=1))

    @validates_schema
    def _validate_destination(self, effect: EffectDocument, **_: object) -> None:
        if ("service" in effect) == ("weighted" in effect):
            raise ValidationError("names either service or weighted")
        if "weighted" in effect and not any(part["weight"] > 0 for part in effect["weighted"]):
            raise ValidationError("no weight above 0", "weighted")


class _Pattern(_OpenSchema):
    path_prefix = fields.String(required=True, validate=validate.Regexp(r"/([^?#]*/)?\Z"))


class _Rule(_OpenSchema):
    name = fields.String(required=True)
    route_kind = fields.String(required=True, validate=validate.OneOf(("pure", "effectful")))
    target_s = _number(required=True)
    priority = fields.Integer(validate=validate.Range(min=0))
    public = fields.Boolean()
    pattern = fields.Nested(_Pattern, required=True)
    effect = fields.Nested(_Effect, required=True)

    @validates_schema
    def _validate_target(self, rule: RuleDocument, **_: object) -> None:
        if rule["target_s"] >= rule["effect"]["timeout_s"] + TARGET_MARGIN_S:
            raise ValidationError("exceeds its route's timeout by a minute or more", "target_s")


class _Socket(_OpenSchema):
    host = fields.String(required=True, validate=validate.Length(min=1))
    policy = fields.List(fields.Nested(_Rule), required=True)


class _Backend(_OpenSchema):
    name = fields.String(required=True, validate=validate.Length(min=1))
    health_path = fields.String(validate=validate.Regexp(r"/"))
    max_conns = fields.Integer(validate=validate.Range(min=0))
    protocol = fields.String(validate=validate.OneOf(("h1",)))
    tls = fields.Boolean(validate=validate.OneOf((False,)))


class _Tenant(_OpenSchema):
    name = fields.String(required=True, validate=validate.Length(min=1))
    api_keys = fields.List(fields.String(validate=validate.Length(min=1)), required=True)
    priority = fields.Integer(validate=validate.Range(min=0))
    rate_per_s = _number()
    burst = _number()


class _Limits(_OpenSchema):
    max_header_bytes = fields.Integer(validate=validate.Range(min=256))
    max_body_bytes = fields.Integer(validate=validate.Range(min=0))
    header_timeout_s = _number(positive=True)
    idle_timeout_s = _number(positive=True)


class _Config(_OpenSchema):
    generation = fields.String(required=True, validate=_validate_version)
    limits = fields.Nested(_Limits)
    tenants = fields.List(fields.Nested(_Tenant))
    sockets = fields.List(fields.Nested(_Socket), required=True)
    backends = fields.List(fields.Nested(_Backend), required=True)

    @validates_schema
    def _validate_references(self, config: ConfigDocument, **_: object) -> None:
        services = [backend["name"] for backend in config["backends"]]
        _require_unique("backends", services)
        _require_known_services(config["sockets"], frozenset(services))
        _require_unique("sockets", _route_places(config["sockets"]))
        _validate_tenants(config.get("tenants", ()))


def _require_unique(field: str, names: Iterable[Hashable], reason: str = "named twice") -> None:
    for name, count in Counter(names).items():
        if count > 1:
            raise ValidationError(f"{reason}: {name}", field)


def _require_known_services(sockets: Iterable[SocketDocument], known_services: frozenset[str]) -> None:
    for socket in sockets:
        for rule in socket["policy"]:
            for service in _services_of(rule["effect"]):
                if service not in known_services:
                    reason = f"route {rule['name']} names unknown service {service}"
                    raise ValidationError(reason, "sockets")


def _services_of(effect: EffectDocument) -> list[str]:
    if "service" in effect:
        return [effect["service"]]
    return [part["service"] for part in effect.get("weighted", ())]


class _Place(NamedTuple):
    """Where a route stands."""

    host: str
    prefix: str

    def __str__(self) -> str:
        """Write it for an operator."""
        return f"{self.host}{self.prefix}"


def _route_places(sockets: Iterable[SocketDocument]) -> Iterator[_Place]:
    """Return the host and the path prefix of each route; no two routes may have the same."""
    for socket in sockets:
        for rule in socket["policy"]:
            yield _Place(socket["host"].lower(), rule["pattern"]["path_prefix"])


def _validate_tenants(tenants: Sequence[TenantDocument]) -> None:
    _require_unique("tenants", [tenant["name"] for tenant in tenants])
    owners: dict[str, str] = {}  # names of tenants, by key; the keys themselves are told to nobody
    for tenant in tenants:
        for key in tenant["api_keys"]:
            owner = owners.setdefault(key, tenant["name"])
            if owner != tenant["name"]:
                raise ValidationError(f"a key is shared: by {owner} and {tenant['name']}", "tenants")


class _NewRule(_Rule):
    public = _Flag()


class _NewSocket(_Socket):
    policy = fields.List(fields.Nested(_NewRule), required=True)


class _NewBackend(_Backend):
    tls = _Flag(validate=validate.OneOf((False,)))


class _NewTenant(_Tenant):
    name = fields.String(required=True, validate=[validate.Length(min=1), _validate_field_value])
    api_keys = fields.List(
        fields.String(validate=[validate.Length(min=1), _validate_field_value]), required=True
    )


class _NewConfig(_Config):
    tenants = fields.List(fields.Nested(_NewTenant))
    sockets = fields.List(fields.Nested(_NewSocket), required=True)
    backends = fields.List(fields.Nested(_NewBackend), required=True)

    @validates_schema
    def _validate_places(self, config: ConfigDocument, **_: object) -> None:
        places = _route_places(config["sockets"])
        keys = [_Place(host_key(place.host), prefix_key(place.prefix)) for place in places]
        _require_unique("sockets", keys, "two spellings of one host and prefix")


_STORED_CONFIG_SCHEMA = _Config()
_NEW_CONFIG_SCHEMA = _NewConfig()


def validate_config(body: bytes) -> Result[int, ErrorDetail]:
    """Validate a new document; return its version, or the error for its sender."""
    return _validate(body, _NEW_CONFIG_SCHEMA)


def validate_stored_config(body: bytes) -> Result[int, ErrorDetail]:
    """Validate a document by the rules that every acknowledged one has met."""
    return _validate(body, _STORED_CONFIG_SCHEMA)


def _validate(body: bytes, schema: Schema) -> Result[int, ErrorDetail]:
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _invalid(f"cannot be read whole: {error}")
    if not isinstance(document, dict):
        return _invalid("not an object")
    try:
        schema.load(document)
    except ValidationError as error:
        return _invalid(str(error.messages)[:MAX_REASON_CHARACTERS])
    except RecursionError:
        return _invalid("too deep")
    return Ok(parse_version(document["generation"]))


def _invalid(reason: str) -> Result[int, ErrorDetail]:
    return Error(ErrorDetail(ErrorKind.INVALID_CONFIG, reason))
