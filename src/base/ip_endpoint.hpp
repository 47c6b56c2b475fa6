// An IP address with a port, in the text form "IP:port".
#ifndef BRONZEHUB_BASE_IP_ENDPOINT_HPP
#define BRONZEHUB_BASE_IP_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzehub::base {

struct ip_endpoint {
    // A valid IPv4 or IPv6 address, without brackets.
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const ip_endpoint&, const ip_endpoint&) = default;
};

// Parses "IP:port". Returns nullopt unless all of `text` is an IP address, a
// colon and a decimal port from 0 to 65535; host names are not resolved.
std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text);

}  // namespace bronzehub::base

#endif
