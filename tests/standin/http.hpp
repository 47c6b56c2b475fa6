// RESTinio behind the stand-in's own request and response types.
#ifndef BRONZEHUB_TESTS_STANDIN_HTTP_HPP
#define BRONZEHUB_TESTS_STANDIN_HTTP_HPP

#include <cstdint>
#include <memory>
#include <string>

#include "exchange.hpp"

namespace bronzehub::standin {

// An HTTP/1.1 server with one thread, the one that calls `run`. The
// constructor binds the address; port 0 takes a free one.
class http_server {
public:
    // Throws std::runtime_error when the address cannot be bound.
    http_server(const std::string& ip, std::uint16_t port, handler handle);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    std::uint16_t port() const;

    // Serves until `stop` is called.
    void run();
    // Safe to call from another thread.
    void stop();

    // Timers that run on the serving thread.
    after_hook timers();

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace bronzehub::standin

#endif
