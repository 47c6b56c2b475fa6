#include "daemon/endpoint.hpp"

#include <utility>

namespace bronzehub::daemon {

endpoint split_endpoint(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    std::string address = text.substr(0, colon);
    if (address.starts_with('[')) {
        address = address.substr(1, address.size() - 2);
    }
    return {std::move(address),
            static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

}  // namespace bronzehub::daemon
