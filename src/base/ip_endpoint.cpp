#include "base/ip_endpoint.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <memory>

namespace bronzehub::base {
namespace {

bool is_ip_address(const std::string& text) {
    in6_addr parsed{};  // Large enough for both families.
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1 ||
           inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view digits) {
    std::uint16_t port = 0;
    const char* end = std::to_address(digits.end());
    const auto [rest, error] =
        std::from_chars(std::to_address(digits.begin()), end, port);
    if (error != std::errc() || rest != end) {
        return std::nullopt;
    }
    return port;
}

}  // namespace

std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = parse_port(text.substr(colon + 1));
    std::string address(text.substr(0, colon));
    // A zero byte would end the text early for `inet_pton`.
    if (!port || std::ranges::find(address, '\0') != address.end() ||
        !is_ip_address(address)) {
        return std::nullopt;
    }
    return ip_endpoint{std::move(address), *port};
}

}  // namespace bronzehub::base
