// The response writer that the server hands to its handler. Internal to the
// library.
#ifndef BRONZEHUB_HTTP_SERVER_RESPONSE_STREAM_HPP
#define BRONZEHUB_HTTP_SERVER_RESPONSE_STREAM_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "http_server/connection.hpp"
#include "http_server/response_head.hpp"
#include "http_server/response_writer.hpp"

namespace bronzehub::http_server {

// What one request allows its response to do.
struct response_context {
    std::string method;
    bool keep_alive = true;
    // HTTP/1.0 knows no chunks.
    bool allows_chunks = true;
    std::size_t low_water_bytes = 0;
    // Set when nothing runs the connection's strand any more.
    std::shared_ptr<const std::atomic<bool>> stopped;
    // Dropped at the end of the response; carries the count of requests.
    std::shared_ptr<void> slot;
};

// One piece of a response on its way to the kernel.
struct response_part {
    // Framing, body bytes, framing; each may be empty.
    std::string prefix;
    std::string body;
    std::string suffix;
    bool last = false;
    bool keep_alive = true;
};

// Passes a part to RESTinio; calls `done` on the strand.
using part_sender = std::function<void(
    response_part, std::function<void(const asio::error_code&)> done)>;

// At most one part is with RESTinio at a time; bytes that come meanwhile are
// joined into the next chunk, which saves system calls when the writer is
// faster than the caller.
class response_stream final
    : public response_writer,
      public connection_observer,
      public std::enable_shared_from_this<response_stream> {
public:
    response_stream(response_context context,
                    std::shared_ptr<connection> target, part_sender send);
    ~response_stream() override;

    void respond(int status, const base::http_headers& headers,
                 std::string body) override;
    void start(int status, const base::http_headers& headers) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    std::size_t pending_bytes() const override;
    void on_drained(std::function<void()> hook) override;
    void on_closed(std::function<void()> hook) override;

    void connection_closed() override;

private:
    // `finishing` and `aborting` wait for queued bytes to be sent.
    enum class stage { fresh, streaming, finishing, aborting, ended, closed };

    template <class Task>
    void post(Task task);

    void send_whole(int status, const base::http_headers& headers,
                    std::string body);
    void send_head(int status, const base::http_headers& headers);
    void advance();
    void send_chunk();
    void send(response_part part, std::size_t body_size);
    void sent(const asio::error_code& error, std::size_t body_size, bool last);
    void release(std::size_t size);
    void end(stage final_stage);
    void call_drained_hook();
    void call_closed_hook();

    response_context context_;
    std::shared_ptr<connection> connection_;
    std::atomic<std::size_t> pending_ = 0;

    // Below: only on the strand.
    part_sender send_;
    stage stage_ = stage::fresh;
    body_framing framing_ = body_framing::chunked;
    std::string unsent_;
    // Bytes in `unsent_` and with RESTinio.
    std::size_t held_ = 0;
    bool sending_ = false;
    std::function<void()> drained_;
    std::function<void()> closed_;
};

}  // namespace bronzehub::http_server

#endif
