"""Check of an instance's settings, generated from its schema.

Do not edit: run ``make messages``. ``validate`` raises ``ValueError``.
"""

# ruff: noqa: E501, F401

from decimal import Decimal
import re

REGEX_PATTERNS = {"^[^:]+:[0-9]{1,5}$": re.compile("^[^:]+:[0-9]{1,5}\\Z")}

NoneType = type(None)


def validate(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise ValueError("" + (name_prefix or "data") + " must be object")
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = (
            set(["name", "domain", "host", "ports", "seeds", "listen"])
            - data.keys()
        )
        if data__missing_keys:
            raise ValueError("" + (name_prefix or "data") + " must contain ")
        data_keys = set(data.keys())
        if "name" in data_keys:
            data_keys.remove("name")
            data__name = data["name"]
            if not isinstance(data__name, (str)):
                raise ValueError(
                    "" + (name_prefix or "data") + ".name must be string"
                )
            if isinstance(data__name, str):
                data__name_len = len(data__name)
                if data__name_len < 1:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".name must be longer than or equal to 1 characters"
                    )
        if "domain" in data_keys:
            data_keys.remove("domain")
            data__domain = data["domain"]
            if not isinstance(data__domain, (str)):
                raise ValueError(
                    "" + (name_prefix or "data") + ".domain must be string"
                )
            if isinstance(data__domain, str):
                data__domain_len = len(data__domain)
                if data__domain_len < 1:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".domain must be longer than or equal to 1 characters"
                    )
        if "host" in data_keys:
            data_keys.remove("host")
            data__host = data["host"]
            if not isinstance(data__host, (str)):
                raise ValueError(
                    "" + (name_prefix or "data") + ".host must be string"
                )
            if isinstance(data__host, str):
                data__host_len = len(data__host)
                if data__host_len < 1:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".host must be longer than or equal to 1 characters"
                    )
        if "ports" in data_keys:
            data_keys.remove("ports")
            data__ports = data["ports"]
            if not isinstance(data__ports, (list, tuple)):
                raise ValueError(
                    "" + (name_prefix or "data") + ".ports must be array"
                )
            data__ports_is_list = isinstance(data__ports, (list, tuple))
            if data__ports_is_list:
                data__ports_len = len(data__ports)
                if data__ports_len < 2:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".ports must contain at least 2 items"
                    )
                for data__ports_x, data__ports_item in enumerate(data__ports):
                    if (
                        not isinstance(data__ports_item, (int))
                        and not (
                            isinstance(data__ports_item, float)
                            and data__ports_item.is_integer()
                        )
                        or isinstance(data__ports_item, bool)
                    ):
                        raise ValueError(
                            ""
                            + (name_prefix or "data")
                            + ".ports[{data__ports_x}]".format(**locals())
                            + " must be integer"
                        )
                    if isinstance(
                        data__ports_item, (int, float, Decimal)
                    ) and not isinstance(data__ports_item, bool):
                        if data__ports_item < 1:
                            raise ValueError(
                                ""
                                + (name_prefix or "data")
                                + ".ports[{data__ports_x}]".format(**locals())
                                + " must be bigger than or equal to 1"
                            )
                        if data__ports_item > 65535:
                            raise ValueError(
                                ""
                                + (name_prefix or "data")
                                + ".ports[{data__ports_x}]".format(**locals())
                                + " must be smaller than or equal to 65535"
                            )
        if "seeds" in data_keys:
            data_keys.remove("seeds")
            data__seeds = data["seeds"]
            if not isinstance(data__seeds, (list, tuple)):
                raise ValueError(
                    "" + (name_prefix or "data") + ".seeds must be array"
                )
            data__seeds_is_list = isinstance(data__seeds, (list, tuple))
            if data__seeds_is_list:
                data__seeds_len = len(data__seeds)
                if data__seeds_len < 1:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".seeds must contain at least 1 items"
                    )
                for data__seeds_x, data__seeds_item in enumerate(data__seeds):
                    validate____defs_address(
                        data__seeds_item,
                        custom_formats,
                        (name_prefix or "data")
                        + ".seeds[{data__seeds_x}]".format(**locals()),
                    )
        if "listen" in data_keys:
            data_keys.remove("listen")
            data__listen = data["listen"]
            validate____defs_listenfile(
                data__listen,
                custom_formats,
                (name_prefix or "data") + ".listen",
            )
        if "data_folder" in data_keys:
            data_keys.remove("data_folder")
            data__datafolder = data["data_folder"]
            if not isinstance(data__datafolder, (str, NoneType)):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".data_folder must be string or null"
                )
        if "bootstrap" in data_keys:
            data_keys.remove("bootstrap")
            data__bootstrap = data["bootstrap"]
            if not isinstance(data__bootstrap, (bool)):
                raise ValueError(
                    "" + (name_prefix or "data") + ".bootstrap must be boolean"
                )
        if "secret" in data_keys:
            data_keys.remove("secret")
            data__secret = data["secret"]
            if not isinstance(data__secret, (str)):
                raise ValueError(
                    "" + (name_prefix or "data") + ".secret must be string"
                )
        if "platform" in data_keys:
            data_keys.remove("platform")
            data__platform = data["platform"]
            if not isinstance(data__platform, (str, NoneType)):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".platform must be string or null"
                )
        if "metrics_port" in data_keys:
            data_keys.remove("metrics_port")
            data__metricsport = data["metrics_port"]
            if (
                not isinstance(data__metricsport, (int))
                and not (
                    isinstance(data__metricsport, float)
                    and data__metricsport.is_integer()
                )
                or isinstance(data__metricsport, bool)
            ):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".metrics_port must be integer"
                )
            if isinstance(
                data__metricsport, (int, float, Decimal)
            ) and not isinstance(data__metricsport, bool):
                if data__metricsport < 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".metrics_port must be bigger than or equal to 0"
                    )
                if data__metricsport > 65535:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".metrics_port must be smaller than or equal to 65535"
                    )
        if "bounds" in data_keys:
            data_keys.remove("bounds")
            data__bounds = data["bounds"]
            validate____defs_boundsfile(
                data__bounds,
                custom_formats,
                (name_prefix or "data") + ".bounds",
            )
        if "memory_mb" in data_keys:
            data_keys.remove("memory_mb")
            data__memorymb = data["memory_mb"]
            if not isinstance(
                data__memorymb, (int, float, Decimal)
            ) or isinstance(data__memorymb, bool):
                raise ValueError(
                    "" + (name_prefix or "data") + ".memory_mb must be number"
                )
            if isinstance(
                data__memorymb, (int, float, Decimal)
            ) and not isinstance(data__memorymb, bool):
                if data__memorymb < 32:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".memory_mb must be bigger than or equal to 32"
                    )
        if "clients" in data_keys:
            data_keys.remove("clients")
            data__clients = data["clients"]
            validate____defs_clientsfile(
                data__clients,
                custom_formats,
                (name_prefix or "data") + ".clients",
            )
        if "calls" in data_keys:
            data_keys.remove("calls")
            data__calls = data["calls"]
            validate____defs_callsfile(
                data__calls, custom_formats, (name_prefix or "data") + ".calls"
            )
        if "hedging" in data_keys:
            data_keys.remove("hedging")
            data__hedging = data["hedging"]
            validate____defs_hedgingfile(
                data__hedging,
                custom_formats,
                (name_prefix or "data") + ".hedging",
            )
        if "overload" in data_keys:
            data_keys.remove("overload")
            data__overload = data["overload"]
            validate____defs_overloadfile(
                data__overload,
                custom_formats,
                (name_prefix or "data") + ".overload",
            )
        if data_keys:
            raise ValueError(
                ""
                + (name_prefix or "data")
                + " must not contain "
                + str(data_keys)
                + " properties"
            )
    return data


def validate____defs_overloadfile(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise ValueError("" + (name_prefix or "data") + " must be object")
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data_keys = set(data.keys())
        if "refuse" in data_keys:
            data_keys.remove("refuse")
            data__refuse = data["refuse"]
            if not isinstance(data__refuse, (bool)):
                raise ValueError(
                    "" + (name_prefix or "data") + ".refuse must be boolean"
                )
        if "shares" in data_keys:
            data_keys.remove("shares")
            data__shares = data["shares"]
            if not isinstance(data__shares, (bool)):
                raise ValueError(
                    "" + (name_prefix or "data") + ".shares must be boolean"
                )
        if data_keys:
            raise ValueError(
                ""
                + (name_prefix or "data")
                + " must not contain "
                + str(data_keys)
                + " properties"
            )
    return data


def validate____defs_hedgingfile(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise ValueError("" + (name_prefix or "data") + " must be object")
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data__missing_keys = set(["share"]) - data.keys()
        if data__missing_keys:
            raise ValueError("" + (name_prefix or "data") + " must contain ")
        data_keys = set(data.keys())
        if "share" in data_keys:
            data_keys.remove("share")
            data__share = data["share"]
            if not isinstance(
                data__share, (int, float, Decimal)
            ) or isinstance(data__share, bool):
                raise ValueError(
                    "" + (name_prefix or "data") + ".share must be number"
                )
            if isinstance(
                data__share, (int, float, Decimal)
            ) and not isinstance(data__share, bool):
                if data__share < 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".share must be bigger than or equal to 0"
                    )
                if data__share > 0.25:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".share must be smaller than or equal to 0.25"
                    )
        if "quantile" in data_keys:
            data_keys.remove("quantile")
            data__quantile = data["quantile"]
            if not isinstance(
                data__quantile, (int, float, Decimal)
            ) or isinstance(data__quantile, bool):
                raise ValueError(
                    "" + (name_prefix or "data") + ".quantile must be number"
                )
            if isinstance(
                data__quantile, (int, float, Decimal)
            ) and not isinstance(data__quantile, bool):
                if data__quantile < 0.5:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".quantile must be bigger than or equal to 0.5"
                    )
                if data__quantile > 0.999:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".quantile must be smaller than or equal to 0.999"
                    )
        if "min_delay_ms" in data_keys:
            data_keys.remove("min_delay_ms")
            data__mindelayms = data["min_delay_ms"]
            if (
                not isinstance(data__mindelayms, (int))
                and not (
                    isinstance(data__mindelayms, float)
                    and data__mindelayms.is_integer()
                )
                or isinstance(data__mindelayms, bool)
            ):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".min_delay_ms must be integer"
                )
            if isinstance(
                data__mindelayms, (int, float, Decimal)
            ) and not isinstance(data__mindelayms, bool):
                if data__mindelayms < 1:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".min_delay_ms must be bigger than or equal to 1"
                    )
                if data__mindelayms > 60000:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".min_delay_ms must be smaller than or equal to 60000"
                    )
        if data_keys:
            raise ValueError(
                ""
                + (name_prefix or "data")
                + " must not contain "
                + str(data_keys)
                + " properties"
            )
    return data


def validate____defs_callsfile(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise ValueError("" + (name_prefix or "data") + " must be object")
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data_keys = set(data.keys())
        if "report_bytes" in data_keys:
            data_keys.remove("report_bytes")
            data__reportbytes = data["report_bytes"]
            if (
                not isinstance(data__reportbytes, (int))
                and not (
                    isinstance(data__reportbytes, float)
                    and data__reportbytes.is_integer()
                )
                or isinstance(data__reportbytes, bool)
            ):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".report_bytes must be integer"
                )
            if isinstance(
                data__reportbytes, (int, float, Decimal)
            ) and not isinstance(data__reportbytes, bool):
                if data__reportbytes < 4096:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".report_bytes must be bigger than or equal to 4096"
                    )
                if data__reportbytes > 524288:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".report_bytes must be smaller than or equal to 524288"
                    )
        if "table_bytes" in data_keys:
            data_keys.remove("table_bytes")
            data__tablebytes = data["table_bytes"]
            if (
                not isinstance(data__tablebytes, (int))
                and not (
                    isinstance(data__tablebytes, float)
                    and data__tablebytes.is_integer()
                )
                or isinstance(data__tablebytes, bool)
            ):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".table_bytes must be integer"
                )
            if isinstance(
                data__tablebytes, (int, float, Decimal)
            ) and not isinstance(data__tablebytes, bool):
                if data__tablebytes < 65536:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".table_bytes must be bigger than or equal to 65536"
                    )
                if data__tablebytes > 16777216:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".table_bytes must be smaller than or equal to 16777216"
                    )
        if data_keys:
            raise ValueError(
                ""
                + (name_prefix or "data")
                + " must not contain "
                + str(data_keys)
                + " properties"
            )
    return data


def validate____defs_clientsfile(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise ValueError("" + (name_prefix or "data") + " must be object")
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data_keys = set(data.keys())
        if "memory_share" in data_keys:
            data_keys.remove("memory_share")
            data__memoryshare = data["memory_share"]
            if not isinstance(
                data__memoryshare, (int, float, Decimal)
            ) or isinstance(data__memoryshare, bool):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".memory_share must be number"
                )
            if isinstance(
                data__memoryshare, (int, float, Decimal)
            ) and not isinstance(data__memoryshare, bool):
                if data__memoryshare > 0.5:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".memory_share must be smaller than or equal to 0.5"
                    )
                if data__memoryshare <= 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".memory_share must be bigger than 0"
                    )
        if "unread_timeout_s" in data_keys:
            data_keys.remove("unread_timeout_s")
            data__unreadtimeouts = data["unread_timeout_s"]
            if not isinstance(
                data__unreadtimeouts, (int, float, Decimal)
            ) or isinstance(data__unreadtimeouts, bool):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".unread_timeout_s must be number"
                )
            if isinstance(
                data__unreadtimeouts, (int, float, Decimal)
            ) and not isinstance(data__unreadtimeouts, bool):
                if data__unreadtimeouts < 1:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".unread_timeout_s must be bigger than or equal to 1"
                    )
        if "backlog_bytes" in data_keys:
            data_keys.remove("backlog_bytes")
            data__backlogbytes = data["backlog_bytes"]
            if (
                not isinstance(data__backlogbytes, (int))
                and not (
                    isinstance(data__backlogbytes, float)
                    and data__backlogbytes.is_integer()
                )
                or isinstance(data__backlogbytes, bool)
            ):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".backlog_bytes must be integer"
                )
            if isinstance(
                data__backlogbytes, (int, float, Decimal)
            ) and not isinstance(data__backlogbytes, bool):
                if data__backlogbytes < 1024:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".backlog_bytes must be bigger than or equal to 1024"
                    )
                if data__backlogbytes > 1048576:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".backlog_bytes must be smaller than or equal to 1048576"
                    )
        if "write_buffer_bytes" in data_keys:
            data_keys.remove("write_buffer_bytes")
            data__writebufferbytes = data["write_buffer_bytes"]
            if (
                not isinstance(data__writebufferbytes, (int))
                and not (
                    isinstance(data__writebufferbytes, float)
                    and data__writebufferbytes.is_integer()
                )
                or isinstance(data__writebufferbytes, bool)
            ):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".write_buffer_bytes must be integer"
                )
            if isinstance(
                data__writebufferbytes, (int, float, Decimal)
            ) and not isinstance(data__writebufferbytes, bool):
                if data__writebufferbytes < 1024:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".write_buffer_bytes must be bigger than or equal to 1024"
                    )
                if data__writebufferbytes > 1048576:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".write_buffer_bytes must be smaller than or equal to 1048576"
                    )
        if "socket_buffer_bytes" in data_keys:
            data_keys.remove("socket_buffer_bytes")
            data__socketbufferbytes = data["socket_buffer_bytes"]
            if (
                not isinstance(data__socketbufferbytes, (int))
                and not (
                    isinstance(data__socketbufferbytes, float)
                    and data__socketbufferbytes.is_integer()
                )
                or isinstance(data__socketbufferbytes, bool)
            ):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".socket_buffer_bytes must be integer"
                )
            if isinstance(
                data__socketbufferbytes, (int, float, Decimal)
            ) and not isinstance(data__socketbufferbytes, bool):
                if data__socketbufferbytes < 4096:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".socket_buffer_bytes must be bigger than or equal to 4096"
                    )
                if data__socketbufferbytes > 4194304:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".socket_buffer_bytes must be smaller than or equal to 4194304"
                    )
        if data_keys:
            raise ValueError(
                ""
                + (name_prefix or "data")
                + " must not contain "
                + str(data_keys)
                + " properties"
            )
    return data


def validate____defs_boundsfile(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise ValueError("" + (name_prefix or "data") + " must be object")
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data_keys = set(data.keys())
        if "retry_ratio" in data_keys:
            data_keys.remove("retry_ratio")
            data__retryratio = data["retry_ratio"]
            if not isinstance(
                data__retryratio, (int, float, Decimal)
            ) or isinstance(data__retryratio, bool):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".retry_ratio must be number"
                )
            if isinstance(
                data__retryratio, (int, float, Decimal)
            ) and not isinstance(data__retryratio, bool):
                if data__retryratio < 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".retry_ratio must be bigger than or equal to 0"
                    )
        if "retry_slack" in data_keys:
            data_keys.remove("retry_slack")
            data__retryslack = data["retry_slack"]
            if not isinstance(
                data__retryslack, (int, float, Decimal)
            ) or isinstance(data__retryslack, bool):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".retry_slack must be number"
                )
            if isinstance(
                data__retryslack, (int, float, Decimal)
            ) and not isinstance(data__retryslack, bool):
                if data__retryslack < 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".retry_slack must be bigger than or equal to 0"
                    )
        if "retry_window_s" in data_keys:
            data_keys.remove("retry_window_s")
            data__retrywindows = data["retry_window_s"]
            if not isinstance(
                data__retrywindows, (int, float, Decimal)
            ) or isinstance(data__retrywindows, bool):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".retry_window_s must be number"
                )
            if isinstance(
                data__retrywindows, (int, float, Decimal)
            ) and not isinstance(data__retrywindows, bool):
                if data__retrywindows <= 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".retry_window_s must be bigger than 0"
                    )
        if "usage_window_s" in data_keys:
            data_keys.remove("usage_window_s")
            data__usagewindows = data["usage_window_s"]
            if not isinstance(
                data__usagewindows, (int, float, Decimal)
            ) or isinstance(data__usagewindows, bool):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".usage_window_s must be number"
                )
            if isinstance(
                data__usagewindows, (int, float, Decimal)
            ) and not isinstance(data__usagewindows, bool):
                if data__usagewindows <= 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".usage_window_s must be bigger than 0"
                    )
        if "usage_late_s" in data_keys:
            data_keys.remove("usage_late_s")
            data__usagelates = data["usage_late_s"]
            if not isinstance(
                data__usagelates, (int, float, Decimal)
            ) or isinstance(data__usagelates, bool):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".usage_late_s must be number"
                )
            if isinstance(
                data__usagelates, (int, float, Decimal)
            ) and not isinstance(data__usagelates, bool):
                if data__usagelates <= 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".usage_late_s must be bigger than 0"
                    )
        if "grace_s" in data_keys:
            data_keys.remove("grace_s")
            data__graces = data["grace_s"]
            if not isinstance(
                data__graces, (int, float, Decimal)
            ) or isinstance(data__graces, bool):
                raise ValueError(
                    "" + (name_prefix or "data") + ".grace_s must be number"
                )
            if isinstance(
                data__graces, (int, float, Decimal)
            ) and not isinstance(data__graces, bool):
                if data__graces <= 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".grace_s must be bigger than 0"
                    )
        if "lease_ms" in data_keys:
            data_keys.remove("lease_ms")
            data__leasems = data["lease_ms"]
            if not isinstance(
                data__leasems, (int, float, Decimal)
            ) or isinstance(data__leasems, bool):
                raise ValueError(
                    "" + (name_prefix or "data") + ".lease_ms must be number"
                )
            if isinstance(
                data__leasems, (int, float, Decimal)
            ) and not isinstance(data__leasems, bool):
                if data__leasems <= 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".lease_ms must be bigger than 0"
                    )
        if "machines_lost" in data_keys:
            data_keys.remove("machines_lost")
            data__machineslost = data["machines_lost"]
            if (
                not isinstance(data__machineslost, (int))
                and not (
                    isinstance(data__machineslost, float)
                    and data__machineslost.is_integer()
                )
                or isinstance(data__machineslost, bool)
            ):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".machines_lost must be integer"
                )
            if isinstance(
                data__machineslost, (int, float, Decimal)
            ) and not isinstance(data__machineslost, bool):
                if data__machineslost < 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".machines_lost must be bigger than or equal to 0"
                    )
        if "cold_excess" in data_keys:
            data_keys.remove("cold_excess")
            data__coldexcess = data["cold_excess"]
            if not isinstance(
                data__coldexcess, (int, float, Decimal)
            ) or isinstance(data__coldexcess, bool):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".cold_excess must be number"
                )
            if isinstance(
                data__coldexcess, (int, float, Decimal)
            ) and not isinstance(data__coldexcess, bool):
                if data__coldexcess < 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".cold_excess must be bigger than or equal to 0"
                    )
        if "cold_slack" in data_keys:
            data_keys.remove("cold_slack")
            data__coldslack = data["cold_slack"]
            if not isinstance(
                data__coldslack, (int, float, Decimal)
            ) or isinstance(data__coldslack, bool):
                raise ValueError(
                    "" + (name_prefix or "data") + ".cold_slack must be number"
                )
            if isinstance(
                data__coldslack, (int, float, Decimal)
            ) and not isinstance(data__coldslack, bool):
                if data__coldslack < 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".cold_slack must be bigger than or equal to 0"
                    )
        if "evacuate_ms" in data_keys:
            data_keys.remove("evacuate_ms")
            data__evacuatems = data["evacuate_ms"]
            if not isinstance(
                data__evacuatems, (int, float, Decimal)
            ) or isinstance(data__evacuatems, bool):
                raise ValueError(
                    ""
                    + (name_prefix or "data")
                    + ".evacuate_ms must be number"
                )
            if isinstance(
                data__evacuatems, (int, float, Decimal)
            ) and not isinstance(data__evacuatems, bool):
                if data__evacuatems < 0:
                    raise ValueError(
                        ""
                        + (name_prefix or "data")
                        + ".evacuate_ms must be bigger than or equal to 0"
                    )
        if data_keys:
            raise ValueError(
                ""
                + (name_prefix or "data")
                + " must not contain "
                + str(data_keys)
                + " properties"
            )
    return data


def validate____defs_listenfile(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (dict)):
        raise ValueError("" + (name_prefix or "data") + " must be object")
    data_is_dict = isinstance(data, dict)
    if data_is_dict:
        data_keys = set(data.keys())
        if "front" in data_keys:
            data_keys.remove("front")
            data__front = data["front"]
            validate____defs_address(
                data__front, custom_formats, (name_prefix or "data") + ".front"
            )
        if "ready" in data_keys:
            data_keys.remove("ready")
            data__ready = data["ready"]
            validate____defs_address(
                data__ready, custom_formats, (name_prefix or "data") + ".ready"
            )
        if "control" in data_keys:
            data_keys.remove("control")
            data__control = data["control"]
            validate____defs_address(
                data__control,
                custom_formats,
                (name_prefix or "data") + ".control",
            )
        if data_keys:
            raise ValueError(
                ""
                + (name_prefix or "data")
                + " must not contain "
                + str(data_keys)
                + " properties"
            )
    return data


def validate____defs_address(data, custom_formats={}, name_prefix=None):
    if not isinstance(data, (str)):
        raise ValueError("" + (name_prefix or "data") + " must be string")
    if isinstance(data, str):
        if not REGEX_PATTERNS["^[^:]+:[0-9]{1,5}$"].search(data):
            raise ValueError(
                ""
                + (name_prefix or "data")
                + " must match pattern ^[^:]+:[0-9]{1,5}$"
            )
    return data
