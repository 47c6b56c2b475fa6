#include "http_server/server.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "http_server/connection.hpp"
#include "http_server/response_head.hpp"
#include "http_server/response_stream.hpp"
#include "http_server/restinio_adapter.hpp"

namespace bronzehub::http_server {
namespace {

using restinio_server = restinio::http_server_t<restinio_traits>;
using restinio_settings = restinio::server_settings_t<restinio_traits>;
using work_guard = asio::executor_work_guard<asio::io_context::executor_type>;

constexpr int status_headers_too_large = 431;
constexpr int status_unavailable = 503;

rejection default_rejection(int status) {
    rejection result{{{"Content-Type", "text/plain"}},
                     absl::StrCat(std::string(reason_phrase(status)), "\n")};
    if (status == status_unavailable) {
        result.headers.push_back({"Retry-After", "1"});
    }
    return result;
}

// Bytes of a request on the wire. A chunked body carries framing; a quarter of
// the body allows chunks of 20 bytes, and bounds the memory that RESTinio
// spends on a record for each chunk.
std::size_t wire_limit(const options& settings) {
    constexpr std::size_t read_ahead = std::size_t{16} * 1024;
    return settings.max_target_bytes + settings.max_header_bytes +
           settings.max_body_bytes + settings.max_body_bytes / 4 + read_ahead;
}

std::size_t connection_limit(std::size_t wanted) {
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
        return wanted;
    }
    return std::min<std::size_t>(wanted, descriptors.rlim_cur / 4 * 3);
}

std::size_t header_bytes(const base::http_headers& headers) {
    constexpr std::size_t separators = 4;  // ": " and the end of the line.
    std::size_t total = 0;
    for (const base::http_header& field : headers) {
        total += field.name.size() + field.value.size() + separators;
    }
    return total;
}

request to_request(restinio::request_t& call) {
    request result;
    result.method = call.header().method().c_str();
    result.target = call.header().request_target();
    call.header().for_each_field([&result](const auto& field) {
        result.headers.push_back({field.name(), field.value()});
    });
    // RESTinio hands out the body of its own, non-constant request as a
    // constant. Moving it spares a copy of up to `max_body_bytes`.
    result.body = std::move(const_cast<std::string&>(call.body()));
    result.peer_address = call.remote_endpoint().address().to_string();
    result.peer_port = call.remote_endpoint().port();
    result.allows_streaming = call.header().http_minor() > 0;
    return result;
}

part_sender make_sender(restinio::request_t& call) {
    using restinio::response_connection_attr;
    using restinio::response_parts_attr_t;
    return [handle = restinio::impl::access_req_connection(call),
            id = call.request_id()](
               response_part part,
               std::function<void(const asio::error_code&)> done) {
        restinio::writable_items_container_t items;
        for (std::string* text : {&part.prefix, &part.body, &part.suffix}) {
            if (!text->empty()) {
                items.emplace_back(std::move(*text));
            }
        }
        restinio::write_group_t group(std::move(items));
        group.after_write_notificator(std::move(done));
        handle->write_response_parts(
            id,
            {part.last ? response_parts_attr_t::final_parts
                       : response_parts_attr_t::not_final_parts,
             response_connection_attr(part.keep_alive)},
            std::move(group));
    };
}

// The connections that are open, by RESTinio's number. Thread-safe.
class connection_registry {
public:
    // Returns false when there are `limit` connections already.
    bool add(std::uint64_t id, const std::shared_ptr<connection>& target,
             std::size_t limit) {
        const std::scoped_lock lock(mutex_);
        return targets_.size() < limit && targets_.emplace(id, target).second;
    }

    void remove(std::uint64_t id) {
        const std::scoped_lock lock(mutex_);
        targets_.erase(id);
    }

    std::shared_ptr<connection> find(std::uint64_t id) const {
        const std::scoped_lock lock(mutex_);
        const auto found = targets_.find(id);
        return found == targets_.end() ? nullptr : found->second.lock();
    }

    std::vector<std::shared_ptr<connection>> all() const {
        const std::scoped_lock lock(mutex_);
        std::vector<std::shared_ptr<connection>> result;
        for (const auto& [id, target] : targets_) {
            if (auto open = target.lock()) {
                result.push_back(std::move(open));
            }
        }
        return result;
    }

private:
    mutable std::mutex mutex_;
    std::unordered_map<std::uint64_t, std::weak_ptr<connection>> targets_;
};

}  // namespace

// RESTinio accepts on a context and thread of its own, because it closes its
// acceptor without regard to other threads that run the same context.
class server::impl : public std::enable_shared_from_this<server::impl> {
public:
    impl(const options& settings, request_handler handler)
        : settings_(settings),
          handler_(std::move(handler)),
          context_(settings.context == nullptr
                       ? std::make_shared<asio::io_context>()
                       : std::shared_ptr<asio::io_context>(
                             std::shared_ptr<void>(), settings.context)) {
        settings_.max_connections = connection_limit(settings_.max_connections);
        if (!settings_.make_rejection) {
            settings_.make_rejection = default_rejection;
        }
    }

    // Throws what Asio throws when the address cannot be bound.
    void open() {
        connection_settings_ = make_connection_settings();
        http_ = std::make_unique<restinio_server>(
            restinio::external_io_context(accept_context_), configure());
        http_->open_sync();
        listening_ = true;
        accept_thread_ = std::thread([this] { run_acceptor(); });
        if (settings_.context == nullptr) {
            work_.emplace(context_->get_executor());
            for (std::size_t i = 0; i < settings_.threads; ++i) {
                threads_.emplace_back([this] { context_->run(); });
            }
        }
    }

    std::uint16_t port() const { return port_; }

    void stop_listening() {
        const std::scoped_lock lock(stop_mutex_);
        if (accept_thread_.joinable()) {
            {
                const std::scoped_lock accept_lock(accept_mutex_);
                listening_ = false;
            }
            accept_wakeup_.notify_all();
            accept_context_.stop();
            accept_thread_.join();
        }
    }

    void stop() {
        stop_listening();
        for (const auto& target : registry_.all()) {
            target->close_from_outside();
        }
        const std::scoped_lock lock(stop_mutex_);
        if (work_) {
            work_.reset();
            std::ranges::for_each(threads_, &std::thread::join);
            *stopped_ = true;
        }
    }

private:
    // RESTinio does not accept again after a failed accept, for example for
    // lack of descriptors. The context then runs out of work, and the
    // listening socket is opened anew.
    void run_acceptor() {
        accept_context_.run();
        while (wait_to_reopen()) {
            reopen();
            accept_context_.run();
        }
        http_->close_sync();
    }

    // Returns false when the server is to stop listening.
    bool wait_to_reopen() {
        constexpr auto reopen_interval = std::chrono::milliseconds(100);
        std::unique_lock lock(accept_mutex_);
        accept_wakeup_.wait_for(lock, reopen_interval,
                                [this] { return !listening_; });
        if (listening_) {
            accept_context_.restart();
        }
        return listening_;
    }

    void reopen() {
        if (settings_.port == 0) {
            return;  // Another port would be bound.
        }
        try {
            http_->close_sync();
            http_->open_sync();
        } catch (const std::exception&) {
            // Tried again after the next interval.
        }
    }

    std::shared_ptr<const connection_settings> make_connection_settings() {
        connection_settings result;
        result.idle_timeout = settings_.idle_timeout;
        result.read_timeout = settings_.read_timeout;
        result.write_timeout = settings_.write_timeout;
        result.max_request_bytes = wire_limit(settings_);
        result.rejection = [make = settings_.make_rejection](int status) {
            const rejection content = make(status);
            return format_head({.status = status,
                                .content_length = content.body.size(),
                                .keep_alive = false},
                               content.headers) +
                   content.body;
        };
        result.accepted = [weak = weak_from_this()](
                              std::uint64_t id,
                              const std::shared_ptr<connection>& target) {
            const auto self = weak.lock();
            return self ? self->register_connection(id, target) : nullptr;
        };
        return std::make_shared<connection_settings>(std::move(result));
    }

    std::shared_ptr<void> register_connection(
        std::uint64_t id, const std::shared_ptr<connection>& target) {
        if (!registry_.add(id, target, settings_.max_connections)) {
            return nullptr;
        }
        return {this, [self = shared_from_this(), id](void*) {
                    self->registry_.remove(id);
                }};
    }

    restinio_settings configure() {
        restinio_settings result;
        result.address(asio::ip::make_address(settings_.address))
            .protocol(asio::ip::make_address(settings_.address).is_v6()
                          ? asio::ip::tcp::v6()
                          : asio::ip::tcp::v4())
            .port(settings_.port)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}
                    .max_url_size(settings_.max_target_bytes)
                    .max_field_name_size(settings_.max_header_field_bytes)
                    .max_field_value_size(settings_.max_header_field_bytes)
                    .max_field_count(settings_.max_header_count)
                    .max_body_size(settings_.max_body_bytes))
            .socket_options_setter([](auto& accepted) {
                accepted.set_option(asio::ip::tcp::no_delay(true));
            })
            .acceptor_post_bind_hook([this](auto& acceptor) {
                port_ = acceptor.local_endpoint().port();
            })
            .request_handler([this](const restinio::request_handle_t& call) {
                handle(*call);
                return restinio::request_accepted();
            });
        result.connections([context = context_, shared = connection_settings_] {
            return std::make_shared<connection>(context, shared);
        });
        return result;
    }

    void handle(restinio::request_t& call) {
        const auto target = registry_.find(call.connection_id());
        request received = to_request(call);
        const bool headers_fit =
            header_bytes(received.headers) <= settings_.max_header_bytes;
        auto slot = take_slot();
        response_context context;
        context.method = received.method;
        context.keep_alive =
            call.header().should_keep_alive() && headers_fit && listening_;
        context.allows_chunks = received.allows_streaming;
        context.low_water_bytes = settings_.low_water_bytes;
        context.stopped = stopped_;
        context.slot = slot;
        auto writer = std::make_shared<response_stream>(
            std::move(context), target, make_sender(call));
        target->begin_handling(writer);
        if (!headers_fit) {
            reject(*writer, status_headers_too_large);
        } else if (!slot) {
            reject(*writer, status_unavailable);
        } else {
            handler_(std::move(received), std::move(writer));
        }
    }

    void reject(response_writer& writer, int status) const {
        rejection content = settings_.make_rejection(status);
        writer.respond(status, content.headers, std::move(content.body));
    }

    // Counts a request in until the result is dropped; empty when there are
    // too many.
    std::shared_ptr<void> take_slot() {
        std::shared_ptr<void> slot(
            this, [count = requests_](void*) { count->fetch_sub(1); });
        return requests_->fetch_add(1) < settings_.max_requests ? slot
                                                                : nullptr;
    }

    options settings_;
    request_handler handler_;
    std::shared_ptr<asio::io_context> context_;
    std::shared_ptr<const connection_settings> connection_settings_;
    std::shared_ptr<std::atomic<bool>> stopped_ =
        std::make_shared<std::atomic<bool>>(false);
    std::shared_ptr<std::atomic<std::size_t>> requests_ =
        std::make_shared<std::atomic<std::size_t>>(0);
    connection_registry registry_;
    // Written again when the listening socket is opened anew.
    std::atomic<std::uint16_t> port_ = 0;

    asio::io_context accept_context_{1};
    std::unique_ptr<restinio_server> http_;
    std::thread accept_thread_;
    std::atomic<bool> listening_ = false;
    std::mutex accept_mutex_;
    std::condition_variable accept_wakeup_;
    std::optional<work_guard> work_;
    std::vector<std::thread> threads_;
    std::mutex stop_mutex_;
};

absl::StatusOr<std::unique_ptr<server>> server::start(const options& settings,
                                                      request_handler handler) {
    asio::error_code malformed;
    asio::ip::make_address(settings.address, malformed);
    if (malformed) {
        return absl::InvalidArgumentError(
            absl::StrCat("not an IP address: ", settings.address));
    }
    try {
        auto state = std::make_shared<impl>(settings, std::move(handler));
        state->open();
        return std::unique_ptr<server>(new server(std::move(state)));
    } catch (const std::exception& error) {
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", settings.address, " port ",
                         settings.port, ": ", error.what()));
    }
}

server::server(std::shared_ptr<impl> state) : impl_(std::move(state)) {}

server::~server() {
    stop();
}

std::uint16_t server::port() const {
    return impl_->port();
}

void server::stop_listening() {
    impl_->stop_listening();
}

void server::stop() {
    impl_->stop();
}

}  // namespace bronzehub::http_server
