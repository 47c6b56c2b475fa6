// An address text of the settings, split into its parts.
#ifndef BRONZEHUB_DAEMON_ENDPOINT_HPP
#define BRONZEHUB_DAEMON_ENDPOINT_HPP

#include <cstdint>
#include <string>

namespace bronzehub::daemon {

struct endpoint {
    std::string address;  // Without the brackets of an IPv6 address.
    std::uint16_t port = 0;
};

// `text` is "IP:port", as the settings library has checked.
endpoint split_endpoint(const std::string& text);

}  // namespace bronzehub::daemon

#endif
