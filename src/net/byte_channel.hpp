// A non-blocking TCP connection that is read and written through callbacks.
#ifndef BRONZEHUB_NET_BYTE_CHANNEL_HPP
#define BRONZEHUB_NET_BYTE_CHANNEL_HPP

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/event_loop.hpp"

namespace bronzehub::net {

// Callbacks of a `byte_channel`.
struct channel_hooks {
    // Called for received bytes, which are valid during the call only.
    std::function<void(std::string_view)> on_bytes;
    // Called when the peer has closed the connection (`asio::error::eof`) or
    // the connection has failed. No callback follows it. Not called after
    // `close`.
    std::function<void(const asio::error_code&)> on_closed;
    // Called when the kernel has accepted all bytes written. May be empty.
    std::function<void()> on_drained = nullptr;
    // Called with the number of buffered bytes that the kernel has accepted,
    // also while the channel is closing. May be empty.
    std::function<void(std::size_t)> on_sent = nullptr;
};

// Held by shared pointer: pending operations keep the channel alive until
// `close`. Not thread-safe.
class byte_channel : public std::enable_shared_from_this<byte_channel> {
public:
    byte_channel(event_loop& loop, asio::ip::tcp::socket socket);

    void start(channel_hooks hooks);

    // Sets TCP_NODELAY, so that small writes are sent without waiting for the
    // acknowledgement of earlier ones. For responses sent in several writes.
    void set_no_delay();

    // Sends what the kernel accepts immediately and buffers the rest.
    void write(std::string_view bytes);
    // Does the same without a copy of what the kernel does not accept
    // immediately. For large bodies.
    void write_shared(std::shared_ptr<const std::string> bytes);
    // Number of bytes that are buffered because the kernel has not accepted
    // them yet.
    std::size_t unsent_bytes() const {
        return send_buffer_.size() +
               (shared_ ? shared_->size() - shared_offset_ : 0);
    }
    // Memory that these bytes take.
    std::size_t send_memory() const {
        return send_buffer_.capacity() + (shared_ ? shared_->capacity() : 0);
    }
    // Number of bytes that the kernel has accepted since the connection was
    // opened.
    std::uint64_t bytes_written() const { return bytes_written_; }

    void pause_reading() { paused_ = true; }
    void resume_reading();

    bool is_open() const { return open_; }
    // Whether the peer has closed the connection or it has failed, even if no
    // read has reported that yet. Costs a system call.
    bool is_closed_by_peer();
    void close();
    // Discards unsent bytes and sends a TCP reset, so that the peer sees an
    // error instead of an orderly close.
    void reset();

    // Time for which a connection whose sending direction is shut down is still
    // read, so that the last bytes reach the peer before a reset.
    static constexpr std::chrono::seconds default_linger_time{1};

    // Whether the peer may still send bytes that will not be read.
    enum class unread_bytes : std::uint8_t { none, expected };

    // Sends the unsent bytes, then closes. With `unread_bytes::expected`, shuts
    // down the sending direction first and closes when the peer has closed too
    // or after `linger_time`: closing a socket with unread bytes resets the
    // connection, and the reset may reach the peer before the last bytes.
    void close_after_write(unread_bytes unread,
                           base::duration linger_time = default_linger_time);

private:
    void start_read();
    void on_read(std::string_view first);
    // Returns how many bytes the kernel has accepted; reports an error.
    std::size_t write_some(std::string_view bytes, asio::error_code& error);
    // Writes only if no bytes are buffered. Returns how many bytes need no
    // buffer.
    std::size_t write_now(std::string_view bytes);
    void wait_writable();
    void flush();
    void fail(const asio::error_code& error);
    void finish_closing();

    event_loop& loop_;
    asio::ip::tcp::socket socket_;
    std::shared_ptr<channel_hooks> hooks_;
    std::string send_buffer_;
    // Sent after `send_buffer_`, from the offset on.
    std::shared_ptr<const std::string> shared_;
    std::size_t shared_offset_ = 0;
    std::uint64_t bytes_written_ = 0;
    base::duration linger_time_ = default_linger_time;
    std::optional<base::timer_id> linger_timer_;
    // The first error that a write or a check found. The kernel reports a reset
    // only once, and a read after that sees an orderly end of the connection.
    asio::error_code socket_error_;
    bool open_ = true;
    bool paused_ = false;
    bool read_pending_ = false;
    bool no_delay_ = false;
    bool write_wait_pending_ = false;
    bool closing_ = false;
    unread_bytes unread_ = unread_bytes::none;
    // Large enough for an event of a stream or the head of a request; longer
    // input is read into the loop's buffer. Kept small, because each open
    // connection holds one.
    std::array<char, 1024> small_read_buffer_;
};

}  // namespace bronzehub::net

#endif
