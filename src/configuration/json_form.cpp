#include "configuration/json_form.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

#include "configuration/validation.hpp"

namespace bronzehub::configuration {
namespace {

constexpr std::size_t longest_name = 100;
constexpr std::size_t longest_path = 500;
constexpr std::size_t digest_digits = 64;

bool is_alphanumeric(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

bool is_name(std::string_view text) {
    const auto allowed = [](char c) {
        return is_alphanumeric(c) || c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= longest_name &&
           std::ranges::all_of(text, allowed);
}

bool is_digest(std::string_view text) {
    const auto allowed = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    return text.size() == digest_digits && std::ranges::all_of(text, allowed);
}

bool is_port(std::string_view text) {
    std::uint32_t port = 0;
    const auto result =
        std::from_chars(text.data(), text.data() + text.size(), port);
    return result.ec == std::errc{} &&
           result.ptr == text.data() + text.size() && port >= 1 &&
           port <= 65535;
}

bool is_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1))) {
        return false;
    }
    std::string host(text.substr(0, colon));
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    in6_addr parsed{};
    return inet_pton(bracketed ? AF_INET6 : AF_INET, host.c_str(), &parsed) ==
           1;
}

bool is_path(std::string_view text) {
    const auto allowed = [](char c) { return c > ' ' && c < 0x7f; };
    return text.size() > 1 && text.size() <= longest_path &&
           text.front() == '/' && std::ranges::all_of(text, allowed) &&
           text.find_first_of("?#") == std::string_view::npos &&
           text.find("//") == std::string_view::npos;
}

bool is_path_prefix(std::string_view text) {
    return is_path(text) && text.back() != '/' &&
           text.find('*') == std::string_view::npos;
}

bool is_path_pattern(std::string_view text) {
    const std::size_t rest = text.find("**");
    return text == "/" || (is_path(text) && (rest == std::string_view::npos ||
                                             text.substr(rest - 1) == "/**"));
}

bool is_method(std::string_view text) {
    const auto allowed = [](char c) { return c >= 'A' && c <= 'Z'; };
    return !text.empty() && text.size() <= 20 &&
           std::ranges::all_of(text, allowed);
}

bool has_member(std::string_view text, const char* key) {
    const auto document = nlohmann::json::parse(text, nullptr, false);
    return document.is_object() && document.contains(key);
}

// A hand-written document may leave the counters out.
void derive_next_numbers(fleet_configuration& value) {
    for (const organisation& each : value.organisations) {
        value.next.organisation =
            std::max(value.next.organisation,
                     base::organisation_id(each.id.value() + 1));
    }
    for (const service& each : value.services) {
        value.next.service =
            std::max(value.next.service, base::service_id(each.id.value() + 1));
    }
    for (const backend_server& each : value.backend_servers) {
        value.next.backend_server =
            std::max(value.next.backend_server,
                     base::backend_server_id(each.id.value() + 1));
    }
}

}  // namespace

const base::string_rule name_rule{
    "1 to 100 letters, digits, dots, underscores or hyphens", &is_name};
const base::string_rule digest_rule{"64 lower-case hexadecimal digits",
                                    &is_digest};
const base::string_rule address_rule{"IP address and port", &is_address};
const base::string_rule path_prefix_rule{
    "path that starts with / and does not end with it", &is_path_prefix};
const base::string_rule path_pattern_rule{
    "path pattern that starts with /, ** only as its last segment",
    &is_path_pattern};
const base::string_rule method_rule{"HTTP method in capitals", &is_method};

fleet_configuration read_configuration(std::string_view text,
                                       base::json_errors& faults) {
    auto result = base::read_document<fleet_configuration>(text, faults);
    if (!has_member(text, "next")) {
        derive_next_numbers(result);
    }
    validate(result, faults);
    return result;
}

absl::StatusOr<fleet_configuration> read_configuration(std::string_view text) {
    base::json_errors faults;
    fleet_configuration result = read_configuration(text, faults);
    if (!faults.empty()) {
        return base::to_status(faults);
    }
    return result;
}

std::string write_configuration(const fleet_configuration& value) {
    return base::write_document(value);
}

}  // namespace bronzehub::configuration
