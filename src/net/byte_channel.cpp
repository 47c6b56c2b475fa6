#include "net/byte_channel.hpp"

#include <asio/buffer.hpp>
#include <tuple>
#include <utility>

namespace bronzehub::net {
namespace {

using asio::ip::tcp;

// Reads into the loop's buffer (256 KiB in total) before other connections are
// served. Several reads per wake-up cost less than one read per wake-up.
constexpr int max_reads_per_wakeup = 4;

}  // namespace

byte_channel::byte_channel(event_loop& loop, tcp::socket socket)
    : loop_(loop), socket_(std::move(socket)) {
    asio::error_code ignored;  // The first read reports a failed socket.
    std::ignore = socket_.non_blocking(true, ignored);
}

void byte_channel::set_no_delay() {
    if (open_ && !std::exchange(no_delay_, true)) {
        asio::error_code ignored;  // Only latency depends on the option.
        std::ignore = socket_.set_option(tcp::no_delay(true), ignored);
    }
}

void byte_channel::start(channel_hooks hooks) {
    hooks_ = std::make_shared<channel_hooks>(std::move(hooks));
    start_read();
}

void byte_channel::start_read() {
    if (!open_ || paused_ || read_pending_) {
        return;
    }
    read_pending_ = true;
    // Starts a read instead of a wait for readability: for each wait, the
    // reactor changes the registration of the socket, one more system call.
    socket_.async_read_some(
        asio::buffer(small_read_buffer_),
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t size) {
            if (!self->open_) {
                return;
            }
            if (error) {
                self->fail(error);
                return;
            }
            self->on_read({self->small_read_buffer_.data(), size});
            // Only now, because the next read overwrites these bytes.
            self->read_pending_ = false;
            self->start_read();
        });
}

void byte_channel::on_read(std::string_view first) {
    auto& buffer = loop_.read_buffer();
    const auto hooks = hooks_;
    if (!closing_) {
        hooks->on_bytes(first);
    }
    bool may_have_more = first.size() == small_read_buffer_.size();
    for (int reads = 0;
         may_have_more && open_ && !paused_ && reads < max_reads_per_wakeup;
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
        may_have_more = size == buffer.size();
    }
}

bool byte_channel::is_closed_by_peer() {
    if (!open_) {
        return true;
    }
    char byte = 0;
    asio::error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (!error || error == asio::error::would_block) {
        return false;
    }
    if (error != asio::error::eof) {
        socket_error_ = error;
    }
    return true;
}

void byte_channel::resume_reading() {
    paused_ = false;
    start_read();
}

std::size_t byte_channel::write_some(std::string_view bytes,
                                     asio::error_code& error) {
    const std::size_t size =
        socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
    if (error == asio::error::would_block) {
        error = {};
        return 0;
    }
    bytes_written_ += size;
    return size;
}

std::size_t byte_channel::write_now(std::string_view bytes) {
    if (unsent_bytes() > 0 || bytes.empty()) {
        return 0;
    }
    asio::error_code error;
    const std::size_t size = write_some(bytes, error);
    if (error) {
        // Reported from the loop, so that `on_closed` does not run within a
        // call of `write`.
        socket_error_ = error;
        paused_ = true;
        loop_.run_after(base::duration(0), [self = shared_from_this(), error] {
            self->fail(error);
        });
        return bytes.size();
    }
    return size;
}

void byte_channel::write(std::string_view bytes) {
    if (!open_ || closing_) {
        return;
    }
    bytes.remove_prefix(write_now(bytes));
    if (const auto shared = std::exchange(shared_, nullptr)) {
        // Keeps the order.
        send_buffer_.append(*shared, shared_offset_);
    }
    send_buffer_.append(bytes);
    wait_writable();
}

void byte_channel::write_shared(std::shared_ptr<const std::string> bytes) {
    if (!open_ || closing_) {
        return;
    }
    if (shared_) {
        write(*bytes);
        return;
    }
    const std::size_t written = write_now(*bytes);
    if (written < bytes->size()) {
        shared_ = std::move(bytes);
        shared_offset_ = written;
        wait_writable();
    }
}

void byte_channel::wait_writable() {
    if (!open_ || unsent_bytes() == 0 || write_wait_pending_) {
        return;
    }
    write_wait_pending_ = true;
    socket_.async_wait(
        tcp::socket::wait_write,
        [self = shared_from_this()](const asio::error_code& error) {
            self->write_wait_pending_ = false;
            if (self->open_ && !error) {
                self->flush();
            }
        });
}

void byte_channel::flush() {
    asio::error_code error;
    std::size_t sent = 0;
    if (!send_buffer_.empty()) {
        sent = write_some(send_buffer_, error);
        send_buffer_.erase(0, sent);
        if (send_buffer_.empty()) {
            // A burst to a slow peer would otherwise be held for good.
            send_buffer_.shrink_to_fit();
        }
    }
    if (!error && send_buffer_.empty() && shared_) {
        const std::size_t size = write_some(
            std::string_view(*shared_).substr(shared_offset_), error);
        sent += size;
        shared_offset_ += size;
        if (shared_offset_ == shared_->size()) {
            shared_.reset();
        }
    }
    if (error) {
        fail(error);
        return;
    }
    if (const auto hooks = hooks_; hooks && hooks->on_sent) {
        hooks->on_sent(sent);
    }
    if (!open_) {
        return;
    }
    if (unsent_bytes() > 0) {
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
    const bool notify = !closing_;
    close();
    if (notify && hooks) {
        hooks->on_closed(socket_error_ ? socket_error_ : error);
    }
}

void byte_channel::close() {
    if (!open_) {
        return;
    }
    open_ = false;
    asio::error_code ignored;  // The socket is given up in any case.
    std::ignore = socket_.close(ignored);
    // Pending operations may keep the channel for a while.
    std::string().swap(send_buffer_);
    shared_.reset();
    if (linger_timer_) {
        loop_.cancel(*std::exchange(linger_timer_, std::nullopt));
    }
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

void byte_channel::close_after_write(unread_bytes unread,
                                     base::duration linger_time) {
    if (!open_ || closing_) {
        return;
    }
    closing_ = true;
    unread_ = unread;
    linger_time_ = linger_time;
    if (unread_ == unread_bytes::expected) {
        paused_ = false;
        start_read();
    }
    if (unsent_bytes() == 0) {
        finish_closing();
    }
}

void byte_channel::finish_closing() {
    if (unread_ == unread_bytes::none) {
        close();
        return;
    }
    asio::error_code ignored;  // The peer may have closed already.
    std::ignore = socket_.shutdown(tcp::socket::shutdown_send, ignored);
    linger_timer_ = loop_.run_after(linger_time_, [self = shared_from_this()] {
        self->linger_timer_.reset();
        self->close();
    });
}

}  // namespace bronzehub::net
