#include "http.hpp"

#include <algorithm>
#include <cctype>
#include <map>
#include <restinio/all.hpp>
#include <stdexcept>
#include <utility>

namespace bronzehub::standin {
namespace {

constexpr auto no_timeout = std::chrono::hours(24);
// More than one, so that RESTinio keeps reading while a response is pending
// and notices that the client closed the connection.
constexpr std::size_t pipelined_requests = 2;
constexpr std::size_t buffer_size = 16384;

// Connections with a pending response and what to do when they close.
using close_hooks =
    std::multimap<restinio::connection_id_t, std::function<void()>>;

class close_listener {
public:
    explicit close_listener(std::shared_ptr<close_hooks> hooks)
        : hooks_(std::move(hooks)) {}

    void state_changed(
        const restinio::connection_state::notice_t& notice) noexcept {
        if (!std::holds_alternative<restinio::connection_state::closed_t>(
                notice.cause())) {
            return;
        }
        auto range = hooks_->extract(notice.connection_id());
        while (!range.empty()) {
            range.mapped()();
            range = hooks_->extract(notice.connection_id());
        }
    }

private:
    std::shared_ptr<close_hooks> hooks_;
};

struct server_traits
    : restinio::single_thread_traits_t<restinio::asio_timer_manager_t,
                                       restinio::null_logger_t> {
    using connection_state_listener_t = close_listener;
};

using server_type = restinio::http_server_t<server_traits>;
using connection = restinio::impl::connection_handle_t;

// Writes the bytes of a response itself: RESTinio's builders always complete
// a response, and the stand-in must be able to break one off.
class http_response : public response {
public:
    http_response(restinio::request_t& call, std::shared_ptr<close_hooks> hooks)
        : connection_(restinio::impl::access_req_connection(call)),
          connection_id_(call.connection_id()),
          request_id_(call.request_id()),
          keep_alive_(call.header().should_keep_alive()),
          hooks_(std::move(hooks)) {}

    void send(int status, std::string body) override {
        put(head(status, "application/json") + "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
            true, keep_alive_);
    }

    void start_stream() override {
        put(head(200, "text/event-stream") +
                "Transfer-Encoding: chunked\r\n\r\n",
            false, true);
    }

    void write(std::string bytes) override {
        put(fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes), false, true);
    }

    void finish() override { put("0\r\n\r\n", true, keep_alive_); }

    void cut() override { put("", true, false); }

    void on_closed(std::function<void()> hook) override {
        hooks_->emplace(connection_id_, std::move(hook));
    }

private:
    std::string head(int status, std::string_view type) const {
        return fmt::format(
            "HTTP/1.1 {} Status\r\nContent-Type: {}\r\nConnection: {}\r\n",
            status, type, keep_alive_ ? "keep-alive" : "close");
    }

    void put(std::string bytes, bool last, bool keep_alive) {
        using restinio::response_connection_attr_t;
        using restinio::response_parts_attr_t;
        if (!connection_) {
            return;
        }
        restinio::writable_items_container_t items;
        items.emplace_back(std::move(bytes));
        const restinio::response_output_flags_t flags{
            last ? response_parts_attr_t::final_parts
                 : response_parts_attr_t::not_final_parts,
            keep_alive ? response_connection_attr_t::connection_keepalive
                       : response_connection_attr_t::connection_close};
        connection_->write_response_parts(
            request_id_, flags, restinio::write_group_t(std::move(items)));
        if (last) {
            hooks_->erase(connection_id_);
            connection_.reset();
        }
    }

    connection connection_;
    restinio::connection_id_t connection_id_;
    restinio::request_id_t request_id_;
    bool keep_alive_;
    std::shared_ptr<close_hooks> hooks_;
};

std::string lower(std::string text) {
    std::ranges::transform(text, text.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return text;
}

request convert(const restinio::request_t& call) {
    request result;
    result.method = call.header().method().c_str();
    result.path = std::string(call.header().path());
    result.body = call.body();
    const auto query = restinio::parse_query<
        restinio::parse_query_traits::javascript_compatible>(
        call.header().query());
    for (const auto& [name, value] : query) {
        result.query.emplace(std::string(name), std::string(value));
    }
    call.header().for_each_field([&](const auto& field) {
        result.headers[lower(field.name())] = field.value();
    });
    return result;
}

}  // namespace

struct http_server::state {
    asio::io_context context{1};
    std::shared_ptr<close_hooks> hooks = std::make_shared<close_hooks>();
    std::uint16_t port = 0;
    std::unique_ptr<server_type> server;
};

http_server::http_server(const std::string& ip, std::uint16_t port,
                         handler handle)
    : state_(std::make_unique<state>()) {
    const auto hooks = state_->hooks;
    auto on_request = [handle = std::move(handle), hooks](const auto& call) {
        auto out = std::make_shared<http_response>(*call, hooks);
        handle(convert(*call), std::move(out));
        return restinio::request_accepted();
    };
    const auto on_bind = [this](asio::ip::tcp::acceptor& acceptor) {
        state_->port = acceptor.local_endpoint().port();
    };
    state_->server = std::make_unique<server_type>(
        restinio::external_io_context(state_->context), [&](auto& settings) {
            settings.address(ip)
                .port(port)
                .request_handler(std::move(on_request))
                .connection_state_listener(
                    std::make_shared<close_listener>(hooks))
                .acceptor_post_bind_hook(on_bind)
                .max_pipelined_requests(pipelined_requests)
                .buffer_size(buffer_size)
                .handle_request_timeout(no_timeout)
                .read_next_http_message_timelimit(no_timeout)
                .write_http_response_timelimit(no_timeout);
        });
    std::exception_ptr failure;
    state_->server->open_async(
        [] {},
        [&failure](const std::exception_ptr& error) { failure = error; });
    state_->context.poll();
    state_->context.restart();
    if (failure) {
        std::rethrow_exception(failure);
    }
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const {
    return state_->port;
}

void http_server::run() {
    state_->context.run();
}

void http_server::stop() {
    state_->context.stop();
}

after_hook http_server::timers() {
    return [context = &state_->context](std::chrono::milliseconds delay,
                                        std::function<void()> run) {
        auto timer = std::make_shared<asio::steady_timer>(*context, delay);
        timer->async_wait([timer, run = std::move(run)](const auto& error) {
            if (!error) {
                run();
            }
        });
    };
}

}  // namespace bronzehub::standin
