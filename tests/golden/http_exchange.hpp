// One HTTP/1.1 request over a connection of its own, for the golden sessions.
#ifndef BRONZEHUB_TESTS_GOLDEN_HTTP_EXCHANGE_HPP
#define BRONZEHUB_TESTS_GOLDEN_HTTP_EXCHANGE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace bronzehub::golden {

struct http_request {
    std::string method;
    std::string path;
    std::vector<std::string> headers;  // Lines such as "Name: value".
    std::string body;
};

struct http_response {
    std::string status;  // Code and reason.
    std::vector<std::string> headers;
    std::string body;  // Without the chunked transfer coding.
};

// Sends the request to a loopback port and reads until the peer closes. Throws
// std::runtime_error when the response is not a whole HTTP response.
http_response exchange(std::uint16_t port, const http_request& request);

}  // namespace bronzehub::golden

#endif
