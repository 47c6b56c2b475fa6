#include "entry/byte_channel.hpp"

#include <asio/buffer.hpp>
#include <tuple>
#include <utility>

namespace bronzehub::entry {
namespace {

using asio::ip::tcp;

// How long a closed connection is read on, so that its last bytes arrive.
constexpr std::chrono::seconds linger_time{1};
// Reads of the loop's buffer, 256 KiB together, before other connections have
// their turn; a few are cheaper than one a turn.
constexpr int max_reads_per_turn = 4;

}  // namespace

byte_channel::byte_channel(event_loop& loop, tcp::socket socket)
    : loop_(loop), socket_(std::move(socket)) {
    asio::error_code ignored;  // A socket that failed shows it at the read.
    std::ignore = socket_.non_blocking(true, ignored);
}

void byte_channel::send_without_delay() {
    if (open_ && !std::exchange(without_delay_, true)) {
        asio::error_code ignored;  // Without it, responses are slower.
        std::ignore = socket_.set_option(tcp::no_delay(true), ignored);
    }
}

void byte_channel::start(channel_hooks hooks) {
    hooks_ = std::make_shared<channel_hooks>(std::move(hooks));
    wait_readable();
}

void byte_channel::wait_readable() {
    if (!open_ || paused_ || waiting_readable_) {
        return;
    }
    waiting_readable_ = true;
    // Reads rather than waits: for a wait, the reactor changes the registration
    // of the socket each time, which is one more system call for each event.
    socket_.async_read_some(
        asio::buffer(first_bytes_),
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t size) {
            if (!self->open_) {
                return;
            }
            if (error) {
                self->fail(error);
                return;
            }
            self->on_readable({self->first_bytes_.data(), size});
            // Not before: the next read overwrites these bytes.
            self->waiting_readable_ = false;
            self->wait_readable();
        });
}

void byte_channel::on_readable(std::string_view first) {
    auto& buffer = loop_.read_buffer();
    const auto hooks = hooks_;
    if (!closing_) {
        hooks->on_bytes(first);
    }
    bool more = first.size() == first_bytes_.size();
    for (int reads = 0; more && open_ && !paused_ && reads < max_reads_per_turn;
         ++reads) {
        asio::error_code error;
        const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) {
            break;
        }
        if (error) {
            fail(error);
            return;
        }
        if (!closing_) {
            hooks->on_bytes(std::string_view(buffer.data(), size));
        }
        more = size == buffer.size();
    }
}

bool byte_channel::is_closed_by_peer() {
    if (!open_) {
        return true;
    }
    char byte = 0;
    asio::error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error && error != asio::error::would_block;
}

void byte_channel::resume_reading() {
    paused_ = false;
    wait_readable();
}

void byte_channel::write(std::string_view bytes) {
    if (!open_ || closing_) {
        return;
    }
    if (unsent_.empty() && !bytes.empty()) {
        asio::error_code error;
        const std::size_t size =
            socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
        if (error && error != asio::error::would_block) {
            // Reported from the loop: the caller is in the middle of its work.
            paused_ = true;
            loop_.run_after(base::duration(0), [self = shared_from_this(),
                                                error] { self->fail(error); });
            return;
        }
        written_ += size;
        bytes.remove_prefix(size);
    }
    unsent_.append(bytes);
    wait_writable();
}

void byte_channel::wait_writable() {
    if (!open_ || unsent_.empty() || waiting_writable_) {
        return;
    }
    waiting_writable_ = true;
    socket_.async_wait(
        tcp::socket::wait_write,
        [self = shared_from_this()](const asio::error_code& error) {
            self->waiting_writable_ = false;
            if (self->open_ && !error) {
                self->flush();
            }
        });
}

void byte_channel::flush() {
    asio::error_code error;
    const std::size_t size =
        socket_.write_some(asio::buffer(unsent_.data(), unsent_.size()), error);
    if (error && error != asio::error::would_block) {
        fail(error);
        return;
    }
    written_ += size;
    unsent_.erase(0, size);
    if (!unsent_.empty()) {
        wait_writable();
        return;
    }
    if (closing_) {
        finish_closing();
        return;
    }
    if (const auto hooks = hooks_; hooks && hooks->on_drained) {
        hooks->on_drained();
    }
}

void byte_channel::fail(const asio::error_code& error) {
    if (!open_) {
        return;
    }
    const auto hooks = hooks_;
    const bool report = !closing_;
    close();
    if (report && hooks) {
        hooks->on_closed(error);
    }
}

void byte_channel::close() {
    if (!open_) {
        return;
    }
    open_ = false;
    asio::error_code ignored;  // Nothing follows from a failed close.
    std::ignore = socket_.close(ignored);
    hooks_.reset();
}

void byte_channel::reset() {
    if (open_) {
        asio::error_code ignored;  // The connection may have failed already.
        std::ignore =
            socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    close();
}

void byte_channel::close_after_write(unread_bytes unread) {
    if (!open_ || closing_) {
        return;
    }
    closing_ = true;
    unread_ = unread;
    if (unread_ == unread_bytes::expected) {
        paused_ = false;
        wait_readable();
    }
    if (unsent_.empty()) {
        finish_closing();
    }
}

void byte_channel::finish_closing() {
    if (unread_ == unread_bytes::none) {
        close();
        return;
    }
    asio::error_code ignored;  // The connection may be gone already.
    std::ignore = socket_.shutdown(tcp::socket::shutdown_send, ignored);
    loop_.run_after(linger_time,
                    [self = shared_from_this()] { self->close(); });
}

}  // namespace bronzehub::entry
