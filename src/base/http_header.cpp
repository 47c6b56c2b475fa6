#include "base/http_header.hpp"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace bronzehub::base {
namespace {

absl::string_view to_absl(std::string_view text) {
    return {text.data(), text.size()};
}

bool is_token_character(char c) {
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    const auto byte = static_cast<unsigned char>(c);
    return absl::ascii_isalnum(byte) || symbols.find(c) != symbols.npos;
}

bool is_value_character(char c) {
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || !absl::ascii_iscntrl(byte);
}

}  // namespace

bool equal_header_names(std::string_view left, std::string_view right) {
    return absl::EqualsIgnoreCase(to_absl(left), to_absl(right));
}

std::optional<std::string_view> find_header(const http_headers& headers,
                                            std::string_view name) {
    const auto found =
        std::ranges::find_if(headers, [name](const http_header& field) {
            return equal_header_names(field.name, name);
        });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value;
}

bool is_valid_header(const http_header& field) {
    return !field.name.empty() &&
           std::ranges::all_of(field.name, is_token_character) &&
           std::ranges::all_of(field.value, is_value_character);
}

bool is_hop_by_hop_header(std::string_view name) {
    constexpr std::array<std::string_view, 9> names{
        "connection", "keep-alive",          "proxy-connection",
        "te",         "transfer-encoding",   "upgrade",
        "trailer",    "proxy-authorization", "proxy-authenticate"};
    return std::ranges::any_of(names, [name](std::string_view hop_by_hop_name) {
        return equal_header_names(hop_by_hop_name, name);
    });
}

}  // namespace bronzehub::base
