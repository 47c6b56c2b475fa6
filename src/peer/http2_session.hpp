// One HTTP/2 connection's framing by nghttp2, without a socket.
//
// Bytes from the peer go in by `receive`, bytes for the peer come out of
// `produce`. Events are called from within `receive`; they may call `request`,
// `respond` and `resume`, but neither `receive` nor `produce`.
#ifndef BRONZEHUB_PEER_HTTP2_SESSION_HPP
#define BRONZEHUB_PEER_HTTP2_SESSION_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "peer/handshake.hpp"

struct nghttp2_session;

namespace bronzehub::peer {

using stream_id = std::int32_t;
using http2_headers = std::map<std::string, std::string, std::less<>>;

// What a body source wrote into the buffer that it was given.
struct body_part {
    std::size_t bytes = 0;  // 0 without `end`: nothing now, see `resume`.
    bool end = false;
};
using body_source = std::function<body_part(std::span<char>)>;

struct http2_events {
    std::function<void(stream_id, const http2_headers&)> on_headers;
    std::function<void(stream_id, std::span<const char>)> on_data;
    // The peer ended its half of the stream.
    std::function<void(stream_id)> on_end;
};

// Not thread-safe.
class http2_session {
public:
    http2_session(side role, http2_events events);
    http2_session(const http2_session&) = delete;
    http2_session& operator=(const http2_session&) = delete;
    ~http2_session();

    // Handles bytes from the peer. kInvalidArgument when they are not HTTP/2.
    absl::Status receive(std::span<const char> bytes);

    // Appends bytes for the peer to `out`, until it holds at least `limit`.
    absl::Status produce(std::string& out, std::size_t limit);

    // Opens a stream (dialler only). Without a source the request has no body.
    stream_id request(const http2_headers& headers, body_source source = {});
    // Answers a stream (acceptor only).
    void respond(stream_id stream, const http2_headers& headers,
                 body_source source = {});
    // Asks the stream's source again, after it had nothing to send.
    void resume(stream_id stream);

private:
    struct callbacks;

    std::unique_ptr<body_source> keep(body_source source);

    http2_events events_;
    nghttp2_session* session_ = nullptr;
    std::map<stream_id, http2_headers> incoming_;
    // Addresses stay valid while nghttp2 refers to them.
    std::map<stream_id, std::unique_ptr<body_source>> sources_;
};

}  // namespace bronzehub::peer

#endif
