// A TCP connection as a stream of bytes in both directions.
#ifndef BRONZEHUB_ENTRY_BYTE_CHANNEL_HPP
#define BRONZEHUB_ENTRY_BYTE_CHANNEL_HPP

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "entry/event_loop.hpp"

namespace bronzehub::entry {

struct channel_hooks {
    // The bytes are valid during the call only.
    std::function<void(std::string_view)> on_bytes;
    // The other side ended the connection (`asio::error::eof`) or it failed.
    // The last event; not called after `close`.
    std::function<void(const asio::error_code&)> on_closed;
    // Everything written has been taken by the kernel. May be empty.
    std::function<void()> on_drained = nullptr;
};

// Owned by shared pointer; pending operations keep it alive until `close`.
// Not thread-safe.
class byte_channel : public std::enable_shared_from_this<byte_channel> {
public:
    byte_channel(event_loop& loop, asio::ip::tcp::socket socket);

    void start(channel_hooks hooks);

    // Sends small writes at once instead of waiting for acknowledgements of
    // earlier ones. For connections that carry several writes for a response.
    void send_without_delay();

    // Sends what the kernel takes at once and keeps the rest.
    void write(std::string_view bytes);
    std::size_t unsent_bytes() const { return unsent_.size(); }
    // Bytes that the kernel has taken since the start.
    std::uint64_t written() const { return written_; }

    void pause_reading() { paused_ = true; }
    void resume_reading();

    bool is_open() const { return open_; }
    // Whether the other side has ended the connection, also when that has not
    // been read yet. Costs a system call.
    bool is_closed_by_peer();
    void close();
    // Drops what is pending and lets the other side see a failure.
    void reset();

    enum class unread_bytes : std::uint8_t { none, expected };

    // Sends what is pending and closes. With bytes expected that nobody will
    // read, ends the sending direction first and closes when the other side
    // has closed too: a close with unread bytes resets the connection, and the
    // reset may overtake the last bytes.
    void close_after_write(unread_bytes unread);

private:
    void wait_readable();
    void on_readable(std::string_view first);
    void wait_writable();
    void flush();
    void fail(const asio::error_code& error);
    void finish_closing();

    event_loop& loop_;
    asio::ip::tcp::socket socket_;
    std::shared_ptr<channel_hooks> hooks_;
    std::string unsent_;
    std::uint64_t written_ = 0;
    bool open_ = true;
    bool paused_ = false;
    bool waiting_readable_ = false;
    bool without_delay_ = false;
    bool waiting_writable_ = false;
    bool closing_ = false;
    unread_bytes unread_ = unread_bytes::none;
    // Takes an event of a stream or the head of a request; longer input goes on
    // in the loop's buffer. Small, as each open connection holds one.
    std::array<char, 1024> first_bytes_;
};

}  // namespace bronzehub::entry

#endif
