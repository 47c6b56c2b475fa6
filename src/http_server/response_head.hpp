// The text of a response's status line and header fields.
#ifndef BRONZEHUB_HTTP_SERVER_RESPONSE_HEAD_HPP
#define BRONZEHUB_HTTP_SERVER_RESPONSE_HEAD_HPP

#include <cstddef>
#include <string>
#include <string_view>

#include "base/http_header.hpp"

namespace bronzehub::http_server {

// How the end of the body is marked.
enum class body_framing {
    content_length,
    chunked,
    // No body follows: the response to HEAD, 204 or 304. A Content-Length
    // among the given headers is passed on.
    no_body,
};

struct response_head {
    int status = 200;
    body_framing framing = body_framing::content_length;
    std::size_t content_length = 0;
    bool keep_alive = true;
};

// True when a response to `method` with `status` never has a body.
bool has_no_body(std::string_view method, int status);

std::string_view reason_phrase(int status);

// Formats the head. Fields that are invalid, hop by hop or about framing are
// left out of `headers`.
std::string format_head(const response_head& head,
                        const base::http_headers& headers);

}  // namespace bronzehub::http_server

#endif
