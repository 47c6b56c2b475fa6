// HTTP/1.1 server: complete requests in, responses out.
//
// Use it where a request fits in memory; request bodies are buffered up to a
// limit before the handler runs. Responses may be streamed.
//
// Example:
//   auto started = server::start(options, [](request call, auto writer) {
//       writer->respond(200, {{"Content-Type", "text/plain"}}, "hello");
//   });
#ifndef BRONZEHUB_HTTP_SERVER_SERVER_HPP
#define BRONZEHUB_HTTP_SERVER_SERVER_HPP

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "base/http_header.hpp"
#include "http_server/response_writer.hpp"

namespace bronzehub::http_server {

// A complete request, header fields in the order received. The peer address is
// textual, without the port.
struct request {
    std::string method;
    std::string target;
    base::http_headers headers;
    std::string body;
    std::string peer_address;
    std::uint16_t peer_port = 0;
    // A caller with HTTP/1.0 cannot get a streamed response: `start` closes
    // its connection.
    bool allows_streaming = true;
};

// Called on an I/O thread; must not block. Several calls run at the same time
// when the server has several threads.
using request_handler =
    std::function<void(request, std::shared_ptr<response_writer>)>;

// The headers and body of a response that the server gives by itself.
struct rejection {
    base::http_headers headers;
    std::string body;
};

struct options {
    std::string address = "127.0.0.1";
    // 0 selects any free port; `server::port` tells which.
    std::uint16_t port = 0;

    // Number of I/O threads that the server owns. Ignored when `context` is
    // given: the server then uses the threads that run it, and the context
    // must keep running until the server is destroyed.
    std::size_t threads = 1;
    asio::io_context* context = nullptr;

    // A request over one of these limits is answered with 413 (body), 414
    // (target) or 431 (headers), and the connection closes. Independently of
    // `max_header_bytes`, the parser refuses header sections over 80 KiB.
    std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t max_target_bytes = std::size_t{8} * 1024;
    std::size_t max_header_bytes = std::size_t{32} * 1024;
    std::size_t max_header_field_bytes = std::size_t{16} * 1024;
    std::size_t max_header_count = 100;

    // From the first to the last byte of a request; a slower sender gets 408.
    std::chrono::milliseconds read_timeout = std::chrono::seconds(30);
    // A connection without a request is closed after this time.
    std::chrono::milliseconds idle_timeout = std::chrono::seconds(75);
    // A connection whose caller accepts no byte for this long is closed.
    std::chrono::milliseconds write_timeout = std::chrono::seconds(30);

    // Connections beyond this number are closed at once. Lowered to three
    // quarters of the process's descriptor limit. When descriptors run out all
    // the same, the listening socket is closed and opened again every 100 ms
    // until a connection can be accepted; with port 0 that is not possible.
    std::size_t max_connections = 8192;
    // Requests whose response has not ended. One more is answered with 503.
    std::size_t max_requests = 8192;

    // `response_writer::on_drained` fires at or below this many bytes.
    std::size_t low_water_bytes = std::size_t{64} * 1024;

    // Headers and body of the responses that the server gives by itself: 400,
    // 408, 413, 414, 431 and 503. Called on I/O threads. By default the reason
    // phrase as plain text.
    std::function<rejection(int status)> make_rejection = nullptr;
};

// Thread-safe. Destruction stops the server and must not happen on one of its
// own I/O threads. Writers may outlive the server; their calls then do nothing
// and their hooks are not called.
class server {
public:
    // Binds, listens and starts the threads: one that accepts, and the I/O
    // threads.
    //
    // Errors: kInvalidArgument for a malformed address, kUnavailable when the
    // address cannot be bound.
    static absl::StatusOr<std::unique_ptr<server>> start(
        const options& settings, request_handler handler);

    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    std::uint16_t port() const;

    // Closes the listening socket before it returns. Open connections
    // continue; each is closed after its next response.
    void stop_listening();

    // Stops listening and closes every connection; `on_closed` hooks run. With
    // own threads everything has ended on return; with an external context the
    // connections close as it runs.
    void stop();

    class impl;

private:
    explicit server(std::shared_ptr<impl> state);

    std::shared_ptr<impl> impl_;
};

}  // namespace bronzehub::http_server

#endif
