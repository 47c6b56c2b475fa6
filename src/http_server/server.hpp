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

// A complete request. The peer address is textual, without the port.
struct request {
    std::string method;
    std::string target;
    base::http_headers headers;
    std::string body;
    std::string peer_address;
    std::uint16_t peer_port = 0;
};

// Called on an I/O thread; must not block. Several calls run at the same time
// when the server has several threads.
using request_handler =
    std::function<void(request, std::shared_ptr<response_writer>)>;

struct options {
    std::string address = "127.0.0.1";
    // 0 selects any free port; `server::port` tells which.
    std::uint16_t port = 0;

    // Number of I/O threads that the server owns. Ignored when `context` is
    // given: the server then uses the threads that run it, and the context
    // must keep running until the server is destroyed.
    std::size_t threads = 1;
    asio::io_context* context = nullptr;

    std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
};

// Thread-safe. Destruction stops the server.
class server {
public:
    // Binds, listens and starts the threads.
    //
    // Errors: kInvalidArgument for a malformed address, kUnavailable when the
    // address cannot be bound.
    static absl::StatusOr<std::unique_ptr<server>> start(
        const options& settings, request_handler handler);

    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    std::uint16_t port() const;

    // Closes the listening socket. Open connections continue.
    void stop_listening();

    // Stops listening and closes every connection.
    void stop();

    class impl;

private:
    explicit server(std::shared_ptr<impl> state);

    std::shared_ptr<impl> impl_;
};

}  // namespace bronzehub::http_server

#endif
