// The response to one HTTP request, written from any thread.
//
// A response is either whole (`respond`) or streamed (`start`, any number of
// `write`, `finish`). A streamed response that cannot be completed ends by
// `abort`, which closes the connection without the last chunk, so that the
// caller can tell that it is partial.
#ifndef BRONZEHUB_HTTP_SERVER_RESPONSE_WRITER_HPP
#define BRONZEHUB_HTTP_SERVER_RESPONSE_WRITER_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "base/http_header.hpp"

namespace bronzehub::http_server {

// Writes the response to one request. Thread-safe: calls take effect in the
// order in which they are made. Calls after the end of the response, and after
// the caller has left, do nothing.
//
// The server owns the framing: Content-Length and hop-by-hop fields in the
// given headers are left out, except that Content-Length passes in the
// response to HEAD. Fields that could end a line are left out as well.
//
// Dropping the last reference before the response ended aborts it.
class response_writer {
public:
    response_writer() = default;
    response_writer(const response_writer&) = delete;
    response_writer& operator=(const response_writer&) = delete;
    virtual ~response_writer() = default;

    // Sends a whole response with its Content-Length.
    virtual void respond(int status, const base::http_headers& headers,
                         std::string body) = 0;

    // Sends the head of a streamed (chunked) response.
    virtual void start(int status, const base::http_headers& headers) = 0;

    // Queues bytes of a streamed response. Never blocks: the sender limits
    // itself by `pending_bytes` and `on_drained`.
    virtual void write(std::string_view bytes) = 0;

    // Sends the last chunk.
    virtual void finish() = 0;

    // Ends a response that cannot be completed: sends the bytes queued so far
    // (within the write timeout), then closes the connection without the last
    // chunk. `on_closed` is not called.
    virtual void abort() = 0;

    // Bytes of the response that the kernel has not accepted yet.
    virtual std::size_t pending_bytes() const = 0;

    // Calls `hook` once, on an I/O thread, as soon as `pending_bytes` is at or
    // below `options::low_water_bytes` or the connection is closed. When that
    // is already so, the hook is called soon. A second call replaces a hook
    // that still waits.
    virtual void on_drained(std::function<void()> hook) = 0;

    // Calls `hook` at most once, on an I/O thread, when the connection closes
    // before the kernel has taken the whole response: the caller left, a write
    // failed or timed out, or the server stopped. Also called (soon) when that
    // happened already. A caller that shuts down its sending side counts as
    // gone, since that cannot be told from a closed connection.
    virtual void on_closed(std::function<void()> hook) = 0;
};

}  // namespace bronzehub::http_server

#endif
