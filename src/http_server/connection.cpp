#include "http_server/connection.hpp"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <tuple>
#include <utility>

#include "http_server/expect_continue.hpp"

namespace bronzehub::http_server {
namespace {

// How long and how much is read from a caller that still sends after the
// response ended. Closing earlier makes the kernel reset the connection, and
// the caller may lose the response.
constexpr auto discard_time = std::chrono::seconds(2);
constexpr std::size_t max_discarded_bytes = std::size_t{1024} * 1024;
constexpr std::size_t discard_buffer_bytes = 4096;

// A caller that sent more than its request (pipelining) keeps the socket
// readable, so its departure is looked for at this interval.
constexpr auto probe_interval = std::chrono::milliseconds(250);

constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_content_too_large = 413;

// Lets the kernel notice a caller whose host or network is gone without a
// word, after about a minute of silence.
void enable_keep_alive(int descriptor) {
    constexpr int enabled = 1;
    constexpr int idle_seconds = 30;
    constexpr int interval_seconds = 10;
    constexpr int probes = 3;
    const auto set = [descriptor](int level, int option, int value) {
        setsockopt(descriptor, level, option, &value, sizeof(value));
    };
    set(SOL_SOCKET, SO_KEEPALIVE, enabled);
    set(IPPROTO_TCP, TCP_KEEPIDLE, idle_seconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, interval_seconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, probes);
}

bool peer_hung_up(int descriptor) {
    pollfd entry{descriptor, POLLRDHUP, 0};
    constexpr int hung_up = POLLRDHUP | POLLHUP | POLLERR;
    return poll(&entry, 1, 0) > 0 && (entry.revents & hung_up) != 0;
}

}  // namespace

connection::connection(std::shared_ptr<asio::io_context> context,
                       std::shared_ptr<const connection_settings> settings)
    : context_(std::move(context)),
      strand_(asio::any_io_executor(context_->get_executor())),
      socket_(*context_),
      settings_(std::move(settings)),
      timer_(*context_),
      probe_timer_(*context_) {}

void connection::accept(std::uint64_t id) {
    enable_keep_alive(socket_.native_handle());
    registration_ = settings_->accepted(id, shared_from_this());
    if (!registration_) {
        close_from_outside();
    }
}

void connection::begin_read() {
    if (phase_ == phase::handling) {
        phase_ = phase::idle;
        received_ = 0;
    }
    if (phase_ == phase::idle) {
        read_deadline_ =
            std::chrono::steady_clock::now() + settings_->idle_timeout;
        arm_timer();
    }
}

asio::error_code connection::end_read(asio::error_code error,
                                      std::string_view received) {
    if (read_expired_) {
        return asio::error::timed_out;
    }
    end_of_input_ = error == asio::error::eof;
    received_ += received.size();
    if (!received.empty() && phase_ == phase::idle) {
        begin_request(received);
    }
    if (received_ > settings_->max_request_bytes) {
        too_large_ = true;
        return asio::error::message_size;
    }
    return error;
}

void connection::begin_request(std::string_view received) {
    phase_ = phase::receiving;
    read_deadline_ = std::chrono::steady_clock::now() + settings_->read_timeout;
    arm_timer();
    if (expects_continue(received)) {
        // No response is under way, so the line cannot land inside another,
        // and it fits into the empty send buffer.
        constexpr std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
        send(socket_.native_handle(), line.data(), line.size(),
             MSG_DONTWAIT | MSG_NOSIGNAL);
    }
}

void connection::begin_write() {
    write_deadline_ =
        std::chrono::steady_clock::now() + settings_->write_timeout;
    arm_timer();
}

void connection::end_write(const asio::error_code& error) {
    write_deadline_.reset();
    write_failed_ = static_cast<bool>(error);
}

void connection::begin_handling(std::weak_ptr<connection_observer> observer) {
    phase_ = phase::handling;
    read_deadline_.reset();
    observer_ = std::move(observer);
    watch_caller();
}

void connection::finish(int parser_status) {
    if (stage_ != stage::open) {
        return;
    }
    const int status = rejection_status(parser_status);
    if (status != 0) {
        reject(status);
    } else if (phase_ == phase::handling && !write_failed_) {
        close_orderly();
    } else {
        close();
    }
}

int connection::rejection_status(int parser_status) const {
    if (parser_status != 0) {
        return parser_status;
    }
    if (too_large_) {
        return status_content_too_large;
    }
    if (phase_ != phase::receiving) {
        return 0;
    }
    if (read_expired_) {
        return status_request_timeout;
    }
    return end_of_input_ ? status_bad_request : 0;
}

void connection::reject(int status) {
    stage_ = stage::closing;
    rejection_text_ = settings_->rejection(status);
    begin_write();
    asio::async_write(
        socket_, asio::buffer(rejection_text_),
        asio::bind_executor(
            strand_, [self = shared_from_this()](const asio::error_code& error,
                                                 std::size_t) {
                if (error) {
                    self->close();
                } else {
                    self->close_orderly();
                }
            }));
}

void connection::close_orderly() {
    if (stage_ == stage::closed) {
        return;
    }
    stage_ = stage::closing;
    notify_observer();
    asio::error_code ignored;
    std::ignore =
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    write_deadline_.reset();
    read_deadline_ = std::chrono::steady_clock::now() + discard_time;
    arm_timer();
    discard_buffer_.resize(discard_buffer_bytes);
    discard_input();
}

void connection::discard_input() {
    socket_.async_read_some(
        asio::buffer(discard_buffer_),
        asio::bind_executor(
            strand_, [self = shared_from_this()](const asio::error_code& error,
                                                 std::size_t size) {
                self->discarded_bytes_ += size;
                if (error || self->discarded_bytes_ > max_discarded_bytes) {
                    self->close();
                } else {
                    self->discard_input();
                }
            }));
}

void connection::close() {
    if (stage_ == stage::closed) {
        return;
    }
    stage_ = stage::closed;
    asio::error_code ignored;
    std::ignore = socket_.close(ignored);
    timer_.cancel();
    probe_timer_.cancel();
    notify_observer();
}

void connection::close_from_outside() {
    asio::post(strand_, [self = shared_from_this()] { self->close(); });
}

void connection::notify_observer() {
    const auto observer = std::exchange(observer_, {}).lock();
    if (observer) {
        observer->connection_closed();
    }
}

void connection::watch_caller() {
    if (std::exchange(watching_, true)) {
        return;
    }
    socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        asio::bind_executor(strand_, [self = shared_from_this()](
                                         const asio::error_code& error) {
            self->watching_ = false;
            if (!error) {
                self->check_caller();
            }
        }));
}

void connection::check_caller() {
    if (stage_ != stage::open || phase_ != phase::handling) {
        return;
    }
    if (peer_hung_up(socket_.native_handle())) {
        close();
    } else {
        probe_later();
    }
}

void connection::probe_later() {
    watching_ = true;
    probe_timer_.expires_after(probe_interval);
    probe_timer_.async_wait(asio::bind_executor(
        strand_, [self = shared_from_this()](const asio::error_code& error) {
            self->watching_ = false;
            if (!error) {
                self->check_caller();
            }
        }));
}

void connection::arm_timer() {
    std::optional<base::time_point> due = read_deadline_;
    if (write_deadline_ && (!due || *write_deadline_ < *due)) {
        due = write_deadline_;
    }
    // A timer that fires early finds nothing due and is armed again; this
    // saves a timer operation for each read and write.
    if (!due || (armed_for_ && *armed_for_ <= *due)) {
        return;
    }
    armed_for_ = due;
    timer_.expires_at(*due);
    timer_.async_wait(asio::bind_executor(
        strand_, [weak = weak_from_this()](const asio::error_code& error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->armed_for_.reset();
                self->check_deadlines();
            }
        }));
}

void connection::check_deadlines() {
    const base::time_point now = std::chrono::steady_clock::now();
    const bool write_expired = write_deadline_ && *write_deadline_ <= now;
    const bool read_expired = read_deadline_ && *read_deadline_ <= now;
    if (write_expired || (read_expired && stage_ == stage::closing)) {
        close();
    } else if (read_expired) {
        // The cancelled read reaches RESTinio as an error, and RESTinio then
        // closes by `finish`.
        read_expired_ = true;
        read_deadline_.reset();
        asio::error_code ignored;
        std::ignore = socket_.cancel(ignored);
    } else if (stage_ != stage::closed) {
        arm_timer();
    }
}

}  // namespace bronzehub::http_server
