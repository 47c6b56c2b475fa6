#include "http_server/response_head.hpp"

#include <catch2/catch.hpp>

namespace bronzehub::http_server {
namespace {

// Guards against response splitting and against two framings in one head, when
// the headers of another server's response are passed on.
TEST_CASE("the head leaves out framing, hop-by-hop and invalid fields") {
    const base::http_headers headers{{"X-Kept", "a"},
                                     {"Content-Length", "99"},
                                     {"Transfer-Encoding", "gzip"},
                                     {"Connection", "upgrade"},
                                     {"X-Split", "a\r\nX-Forged: b"}};
    const auto [framing, expected] = GENERATE(table<body_framing, std::string>({
        {body_framing::content_length, "X-Kept: a\r\nContent-Length: 7"},
        {body_framing::chunked, "X-Kept: a\r\nTransfer-Encoding: chunked"},
        {body_framing::no_body, "X-Kept: a\r\nContent-Length: 99"},
    }));
    CHECK(format_head({.status = 503, .framing = framing, .content_length = 7},
                      headers) ==
          "HTTP/1.1 503 Service Unavailable\r\nConnection: keep-alive\r\n" +
              expected + "\r\n\r\n");
}

}  // namespace
}  // namespace bronzehub::http_server
