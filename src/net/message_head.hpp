// The head of an HTTP/1.1 message: what `message_parser` decodes before the
// body.
#ifndef BRONZEHUB_NET_MESSAGE_HEAD_HPP
#define BRONZEHUB_NET_MESSAGE_HEAD_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "base/http_header.hpp"

namespace bronzehub::net {

enum class message_kind : std::uint8_t { request, response };

// The request line or status line of a message and its header fields.
struct message_head {
    // Set for requests only.
    std::string method;
    std::string target;
    // Set for responses only.
    int status = 0;
    base::http_headers headers;
    // Whether the head lets the connection stay open after the message.
    bool keep_alive = false;
    // Content-Length of the body that follows; empty without one or without a
    // body.
    std::optional<std::uint64_t> content_length;
    // The request has "Expect: 100-continue": the caller waits for an interim
    // response before it sends the body.
    bool expects_continue = false;
    // The sender supports chunked transfer coding: HTTP/1.1 or later.
    bool supports_chunked = false;
};

}  // namespace bronzehub::net

#endif
