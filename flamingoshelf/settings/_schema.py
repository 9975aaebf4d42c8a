"""JSON schema of a node's settings."""

from typing import Any

__all__ = ["SETTINGS_SCHEMA"]

_ADDRESS = {"type": "string", "pattern": r"^[0-9.]+:[0-9]{1,5}$", "description": "ip:port"}
_FILE = {"type": "string", "minLength": 1}
_TLS_FIELDS = ("tls_certificate_file", "tls_key_file", "tls_authority_file")
_SECONDS = {"type": "number", "exclusiveMinimum": 0, "maximum": 86400}

SETTINGS_SCHEMA: dict[str, Any] = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "title": "flamingoshelfd settings",
    "type": "object",
    "additionalProperties": False,
    "required": [
        "node_name",
        "data_centre",
        "caller_address",
        "peer_address",
        "operator_address",
        "object_service_address",
        "vm_list_address",
        "cluster_secret_file",
    ],
    "dependentRequired": {name: list(_TLS_FIELDS) for name in _TLS_FIELDS},
    "properties": {
        "node_name": {
            "type": "string",
            "minLength": 1,
            "maxLength": 63,
            "description": "Name of the VM as in the platform's VM list.",
        },
        "data_centre": {"type": "string", "minLength": 1, "description": "Data centre of the VM."},
        "caller_address": {**_ADDRESS, "description": "Address at which callers are served."},
        "peer_address": {**_ADDRESS, "description": "Address at which other nodes are served."},
        "operator_address": {
            **_ADDRESS,
            "description": "Address of health checks, metrics and status reads.",
        },
        "object_service_address": {**_ADDRESS, "description": "The platform's object service."},
        "vm_list_address": {**_ADDRESS, "description": "The platform's VM list."},
        "cluster_secret_file": {
            "type": "string",
            "minLength": 1,
            "description": "File with the secret that the nodes share.",
        },
        "tls_certificate_file": {
            **_FILE,
            "description": "Certificate (PEM) for connections between nodes.",
        },
        "tls_key_file": {**_FILE, "description": "Private key (PEM) of that certificate."},
        "tls_authority_file": {
            **_FILE,
            "description": "Certificates (PEM) of the authority that signed all nodes' ones.",
        },
        "max_body_bytes": {
            "type": "integer",
            "minimum": 1024,
            "maximum": 67108864,
            "default": 4194304,
            "description": "Largest body of a caller's request.",
        },
        "shutdown_timeout_s": {
            **_SECONDS,
            "default": 60,
            "description": "Longest time a graceful shutdown waits for running requests.",
        },
        "readiness_notice_s": {
            **_SECONDS,
            "default": 5,
            "description": "Time from readiness off to the end of new connections at a shutdown.",
        },
        "vm_list_lag_s": {
            **_SECONDS,
            "default": 5,
            "description": "Lag of the VM list that the platform states.",
        },
        "limiter": {
            "enum": ["fleet", "per_node"],
            "default": "fleet",
            "description": "Whether limits count over the fleet or are divided by the nodes.",
        },
        "placer": {
            "enum": ["fleet", "local", "two_choice", "round_robin"],
            "default": "fleet",
            "description": "How requests are placed; all but fleet are for comparison.",
        },
        "log_format": {
            "enum": ["text", "json"],
            "default": "text",
            "description": "Format of the log lines.",
        },
        "log_level": {
            "enum": ["DEBUG", "INFO", "WARNING", "ERROR"],
            "default": "INFO",
            "description": "Lowest level that is logged.",
        },
    },
}
