#include "settings/checks.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace bronzehub::settings {
namespace {

using nlohmann::json;

constexpr std::size_t max_name_length = 63;
// Longer values are truncated in error messages.
constexpr std::size_t max_displayed_length = 80;

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::ranges::all_of(text, [](unsigned char c) {
               return absl::ascii_islower(c) || absl::ascii_isdigit(c) ||
                      c == '-' || c == '.' || c == '_';
           });
}

bool is_environment_variable_name(std::string_view text) {
    return !text.empty() &&
           !absl::ascii_isdigit(static_cast<unsigned char>(text.front())) &&
           std::ranges::all_of(text, [](unsigned char c) {
               return absl::ascii_isalnum(c) || c == '_';
           });
}

bool is_url(std::string_view text) {
    for (const std::string_view scheme : {"http://", "https://"}) {
        if (text.starts_with(scheme)) {
            const std::string_view rest = text.substr(scheme.size());
            return !rest.empty() && rest.front() != '/' &&
                   std::ranges::none_of(rest, [](unsigned char c) {
                       return c <= ' ' || c == '?' || c == '#';
                   });
        }
    }
    return false;
}

bool is_log_level(std::string_view text) {
    constexpr std::array levels{log_level::trace, log_level::debug,
                                log_level::info, log_level::warning,
                                log_level::error};
    return std::ranges::any_of(
        levels, [&](log_level level) { return text == to_string(level); });
}

bool in_range(const setting_row& row, std::int64_t number) {
    return number >= row.minimum && number <= row.maximum;
}

bool is_valid_number(const setting_row& row, const json& value) {
    if (value.is_number_unsigned()) {
        // Compares before the cast to std::int64_t, in which a value above the
        // signed range would become negative.
        const auto number = value.get<std::uint64_t>();
        return number <= static_cast<std::uint64_t>(row.maximum) &&
               in_range(row, static_cast<std::int64_t>(number));
    }
    return value.is_number_integer() &&
           in_range(row, value.get<std::int64_t>());
}

bool is_valid_text(const setting_row& row, const std::string& text) {
    switch (row.kind) {
        case value_kind::name:
            return is_name(text);
        case value_kind::environment_variable:
            return is_environment_variable_name(text);
        case value_kind::secret:
            return in_range(row, static_cast<std::int64_t>(text.size()));
        case value_kind::address:
            return is_address(text);
        case value_kind::url:
            return is_url(text);
        case value_kind::log_level:
            return is_log_level(text);
        default:
            return false;
    }
}

bool is_digits(std::string_view text) {
    return std::ranges::all_of(
        text, [](unsigned char c) { return absl::ascii_isdigit(c); });
}

struct address_parts {
    std::string ip;
    std::string port;
    int family = AF_INET;
};

// Splits IP:port at the last colon and removes the brackets of an IPv6
// address. The parts are not validated; both are empty when there is no colon.
address_parts split_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    address_parts parts{std::string(text.substr(0, colon)),
                        std::string(text.substr(colon + 1)), AF_INET};
    if (parts.ip.starts_with('[') && parts.ip.ends_with(']')) {
        parts.family = AF_INET6;
        parts.ip = parts.ip.substr(1, parts.ip.size() - 2);
    }
    return parts;
}

std::string format_milliseconds(std::chrono::milliseconds time) {
    return absl::StrCat(time.count(), " ms");
}

void check_listeners(const daemon_settings& settings,
                     const error_reporter& report) {
    const listener_settings& listeners = settings.listeners;
    struct listener_address {
        std::string_view key;
        const std::string& address;
    };
    const std::array all_listeners{
        listener_address{"listeners.callers", listeners.callers},
        listener_address{"listeners.operators", listeners.operators},
        listener_address{"listeners.peers", listeners.peers}};
    std::set<std::string> seen_addresses;
    for (const listener_address& listener : all_listeners) {
        if (!listener.address.empty() &&
            !seen_addresses.insert(listener.address).second) {
            report(std::string(listener.key), listener.address,
                   "an address that no other listener uses");
        }
    }
    const std::string& advertised = listeners.peers_advertised;
    if (!advertised.empty() && is_wildcard(advertised)) {
        report("listeners.peers_advertised", advertised,
               "an address that other hosts can connect to; give "
               "listeners.peers_advertised when listeners.peers is a wildcard");
    }
}

void check_shared_key(const peer_settings& peers,
                      const error_reporter& report) {
    if (peers.shared_key.empty() && peers.shared_key_variable.empty()) {
        report("peers.shared_key", "nothing",
               "peers.shared_key or peers.shared_key_variable");
    }
    if (!peers.shared_key.empty() && !peers.shared_key_variable.empty()) {
        report("peers.shared_key_variable",
               "both peers.shared_key and peers.shared_key_variable",
               "only one of peers.shared_key and peers.shared_key_variable");
    }
}

void check_seeds(const daemon_settings& settings,
                 const error_reporter& report) {
    std::set<std::string> seen_hosts;
    const std::string& own_address = settings.listeners.peers_advertised;
    std::size_t index = 0;
    for (const seed_peer& seed : settings.peers.seeds) {
        const std::string path = absl::StrCat("peers.seeds[", index++, "].");
        if (seed.host.empty() || seed.address.empty()) {
            continue;
        }
        if (!seen_hosts.insert(seed.host).second) {
            report(path + "host", absl::StrCat("\"", seed.host, "\""),
                   "a host that no other seed has");
        }
        if (seed.host == settings.host.name && !own_address.empty() &&
            !is_wildcard(own_address) && seed.address != own_address) {
            report(path + "address", seed.address,
                   absl::StrCat(own_address,
                                ", the advertised address of this host"));
        }
    }
}

void check_limits(const limit_settings& limits, const error_reporter& report) {
    const std::uint64_t max_single_body_bytes =
        std::max(limits.body_bytes, limits.answer_bytes);
    if (limits.buffered_bytes < max_single_body_bytes) {
        report("limits.buffered_bytes", absl::StrCat(limits.buffered_bytes),
               absl::StrCat("at least the larger of limits.body_bytes and "
                            "limits.answer_bytes, ",
                            max_single_body_bytes));
    }
    if (limits.waiting_calls_per_organisation_and_service >
        limits.waiting_calls) {
        report("limits.waiting_calls_per_organisation_and_service",
               absl::StrCat(limits.waiting_calls_per_organisation_and_service),
               absl::StrCat("at most limits.waiting_calls, ",
                            limits.waiting_calls));
    }
}

void check_platform(const platform_settings& platform,
                    const error_reporter& report) {
    if (platform.connect_timeout > platform.request_timeout) {
        report("platform.connect_timeout_ms",
               format_milliseconds(platform.connect_timeout),
               absl::StrCat("at most platform.request_timeout_ms, ",
                            format_milliseconds(platform.request_timeout)));
    }
}

}  // namespace

bool is_address(std::string_view text) {
    const address_parts parts = split_address(text);
    constexpr std::uint32_t max_port = 65535;
    std::uint32_t port = 0;
    if (!is_digits(parts.port) || !absl::SimpleAtoi(parts.port, &port) ||
        port == 0 || port > max_port) {
        return false;
    }
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    return inet_pton(parts.family, parts.ip.c_str(), binary.data()) == 1;
}

bool is_wildcard(std::string_view address) {
    const std::string ip = split_address(address).ip;
    return ip == "0.0.0.0" || ip == "::";
}

bool is_valid_value(const setting_row& row, const json& value) {
    switch (row.kind) {
        case value_kind::number:
        case value_kind::duration:
            return is_valid_number(row, value);
        case value_kind::object:
            return value.is_object();
        case value_kind::list:
            return value.is_array() &&
                   value.size() <= static_cast<std::size_t>(row.maximum);
        default:
            return value.is_string() &&
                   is_valid_text(row, value.get_ref<const std::string&>());
    }
}

std::string describe_value(const setting_row& row, const json& value) {
    if (row.kind == value_kind::secret) {
        return value.is_string()
                   ? absl::StrCat("text of ",
                                  value.get_ref<const std::string&>().size(),
                                  " characters")
                   : std::string(value.type_name());
    }
    std::string text =
        value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > max_displayed_length) {
        text = text.substr(0, max_displayed_length) + "...";
    }
    return text;
}

void check_consistency(const daemon_settings& settings,
                       const error_reporter& report) {
    check_listeners(settings, report);
    check_shared_key(settings.peers, report);
    check_seeds(settings, report);
    check_limits(settings.limits, report);
    check_platform(settings.platform, report);
}

}  // namespace bronzehub::settings
