// One authenticated TCP connection to another daemon.
//
// Used by `transport`, which decides when to dial and which connection of a
// pair carries the messages. A connection has one long-lived HTTP/2 stream
// for each direction: the dialler's request body and the acceptor's response
// body.
#ifndef BRONZEHUB_PEER_CONNECTION_HPP
#define BRONZEHUB_PEER_CONNECTION_HPP

#include <array>
#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "base/strong_id.hpp"
#include "peer/counters.hpp"
#include "peer/framing.hpp"
#include "peer/handshake.hpp"
#include "peer/http2_session.hpp"
#include "peer/send_queue.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::peer {

struct connection_options {
    base::host_id host;  // This host.
    std::string shared_key;
    std::uint32_t major_version = protocol::major_version;
    std::size_t max_message_bytes = std::size_t{16} << 20U;
    // For the TCP connection and the handshake together.
    std::chrono::milliseconds handshake_timeout{2000};
    // Sent bytes that stay unacknowledged for longer end the connection. TCP's
    // own retransmission would go on for minutes after a partition.
    std::chrono::milliseconds unacknowledged_timeout{3000};
};

class connection;
using connection_ptr = std::shared_ptr<connection>;

struct connection_hooks {
    // The peer is authenticated and messages can flow.
    std::function<void(const connection_ptr&)> on_ready;
    std::function<void(const connection_ptr&, protocol::message)> on_message;
    // The peer asked that nothing more be sent on this connection.
    std::function<void(const connection_ptr&)> on_retired;
    // Called once, last, never from within a call to the connection.
    std::function<void(const connection_ptr&, const absl::Status&)> on_closed;
};

// Runs on one io_context; every function is called on its thread.
class connection : public std::enable_shared_from_this<connection> {
public:
    // `expected_host` is the name that a dialled peer must have; empty: any.
    connection(asio::ip::tcp::socket socket, side role,
               base::host_id expected_host,
               std::shared_ptr<const connection_options> options,
               connection_hooks hooks, std::shared_ptr<counters> counts);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() = default;

    // Connects to the address and introduces itself (dialler).
    void dial(const asio::ip::tcp::endpoint& address);
    // Waits for the introduction of the peer (acceptor).
    void accept();

    // Takes messages from the queue from now on; null: from none.
    void attach(std::shared_ptr<send_queue> queue);
    // Sends what the queue holds.
    void flush();
    // Ends the connection once both sides have sent what they had begun.
    void retire();
    void close(const absl::Status& reason);

    side role() const { return role_; }
    // The peer's name; known once the introductions are exchanged.
    const base::host_id& peer_host() const { return peer_host_; }
    // Whether messages can be sent.
    bool usable() const { return ready_ && !retiring_ && !closed_; }
    bool ready() const { return ready_; }
    const std::string& remote_address() const { return remote_address_; }

private:
    void start();
    void read();
    void receive(std::span<const char> bytes);
    void arm_handshake_timer();
    void set_socket_options();

    void on_headers(stream_id stream, const http2_headers& headers);
    void on_data(stream_id stream, std::span<const char> bytes);
    void on_end(stream_id stream);

    // Steps of the handshake, in order.
    void send_hello();
    void answer_hello(stream_id stream, const http2_headers& headers);
    void read_hello(const http2_headers& headers);
    void check_dialler(stream_id stream, const http2_headers& headers);
    void check_acceptor(const http2_headers& headers);
    void open_download(stream_id stream);
    void become_ready();
    // Answers with an error and closes.
    void refuse(stream_id stream, int http_status, const absl::Status& reason);
    void count_refusal(const absl::Status& reason);

    absl::Status on_frame(std::span<const char> bytes);
    body_part fill(std::span<char> buffer);

    asio::ip::tcp::socket socket_;
    asio::steady_timer handshake_timer_;
    const side role_;
    const base::host_id expected_host_;
    const std::shared_ptr<const connection_options> options_;
    connection_hooks hooks_;
    const std::shared_ptr<counters> counts_;
    http2_session session_;
    frame_reader reader_;

    base::host_id peer_host_;
    std::string remote_address_;
    introduction both_;
    stream_id hello_stream_ = 0;
    stream_id send_stream_ = 0;
    stream_id receive_stream_ = 0;

    std::shared_ptr<send_queue> queue_;
    std::shared_ptr<const std::string> sending_;  // Framed, partly sent.
    std::size_t sent_of_sending_ = 0;
    std::array<char, 16384> input_{};
    std::string output_;

    bool authenticated_ = false;
    bool ready_ = false;
    bool retiring_ = false;
    bool receiving_ = false;
    bool writing_ = false;
    bool closed_ = false;
    // The reason for a refusal that is still being sent.
    std::optional<absl::Status> refusal_;
};

}  // namespace bronzehub::peer

#endif
