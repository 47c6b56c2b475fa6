#include "http_server/server.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/strand.hpp>
#include <atomic>
#include <mutex>
#include <optional>
#include <restinio/all.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace bronzehub::http_server {
namespace {

constexpr std::size_t low_water_bytes = std::size_t{64} * 1024;

using traits = restinio::default_traits_t;
using restinio_server = restinio::http_server_t<traits>;
using whole_builder =
    restinio::response_builder_t<restinio::restinio_controlled_output_t>;
using chunk_builder = restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t status_line(int status) {
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            status < 400 ? "OK" : "Error"};
}

template <class Builder>
void append_headers(Builder& builder, const base::http_headers& headers) {
    for (const base::http_header& field : headers) {
        if (base::is_valid_header(field) &&
            !base::is_hop_by_hop_header(field.name) &&
            !base::equal_header_names(field.name, "Content-Length")) {
            builder.append_header(field.name, field.value);
        }
    }
}

class writer final : public response_writer,
                     public std::enable_shared_from_this<writer> {
public:
    writer(restinio::request_handle_t call, asio::io_context& context)
        : call_(std::move(call)), strand_(asio::make_strand(context)) {}

    void respond(int status, const base::http_headers& headers,
                 std::string body) override {
        post([this, status, headers, text = std::move(body)]() mutable {
            if (!call_ || ended_) {
                return;
            }
            ended_ = true;
            whole_builder builder = call_->create_response(status_line(status));
            append_headers(builder, headers);
            builder.set_body(std::move(text));
            builder.done();
        });
    }

    void start(int status, const base::http_headers& headers) override {
        post([this, status, headers] {
            if (!ended_ && !chunks_) {
                chunks_.emplace(
                    call_->create_response<restinio::chunked_output_t>(
                        status_line(status)));
                append_headers(*chunks_, headers);
                chunks_->flush();
            }
        });
    }

    void write(std::string_view bytes) override {
        pending_ += bytes.size();
        post([this, data = std::string(bytes)]() mutable {
            const std::size_t size = data.size();
            if (ended_ || !chunks_) {
                return;
            }
            chunks_->append_chunk(std::move(data));
            chunks_->flush(
                [self = shared_from_this(), size](const auto& error) {
                    self->sent(size, !error);
                });
        });
    }

    void finish() override {
        post([this] {
            if (chunks_ && !ended_) {
                ended_ = true;
                chunks_->done();
            }
        });
    }

    void abort() override {
        post([this] { ended_ = true; });
    }

    std::size_t pending_bytes() const override { return pending_; }

    void on_drained(std::function<void()> hook) override {
        post([this, run = std::move(hook)]() mutable {
            drained_ = std::move(run);
            check_drained();
        });
    }

    void on_closed(std::function<void()> hook) override {
        post([this, run = std::move(hook)]() mutable {
            closed_ = std::move(run);
        });
    }

private:
    template <class Task>
    void post(Task task) {
        asio::post(strand_, [self = shared_from_this(),
                             run = std::move(task)]() mutable { run(); });
    }

    void sent(std::size_t size, bool ok) {
        pending_ -= size;
        post([this, ok] {
            if (!ok && !ended_) {
                ended_ = true;
                if (closed_) {
                    std::exchange(closed_, nullptr)();
                }
            }
            check_drained();
        });
    }

    void check_drained() {
        if (drained_ && pending_ <= low_water_bytes) {
            std::exchange(drained_, nullptr)();
        }
    }

    restinio::request_handle_t call_;
    asio::strand<asio::io_context::executor_type> strand_;
    std::optional<chunk_builder> chunks_;
    std::atomic<std::size_t> pending_ = 0;
    std::function<void()> drained_;
    std::function<void()> closed_;
    bool ended_ = false;
};

request to_request(const restinio::request_t& call) {
    request result;
    result.method = call.header().method().c_str();
    result.target = call.header().request_target();
    call.header().for_each_field([&result](const auto& field) {
        result.headers.push_back({field.name(), field.value()});
    });
    result.body = call.body();
    result.peer_address = call.remote_endpoint().address().to_string();
    result.peer_port = call.remote_endpoint().port();
    return result;
}

}  // namespace

class server::impl {
public:
    impl(const options& settings, request_handler handler)
        : context_(settings.context ? settings.context : &own_context_),
          handler_(std::move(handler)),
          http_(restinio::external_io_context(*context_), configure(settings)) {
    }

    void open(const options& settings) {
        http_.open_sync();
        if (settings.context == nullptr) {
            work_.emplace(own_context_.get_executor());
            for (std::size_t i = 0; i < settings.threads; ++i) {
                threads_.emplace_back([this] { own_context_.run(); });
            }
        }
    }

    std::uint16_t port() const { return port_; }

    void stop_listening() {
        asio::post(*context_, [this] { http_.close_sync(); });
    }

    void stop() {
        stop_listening();
        if (work_) {
            work_.reset();
            own_context_.stop();
            for (std::thread& thread : threads_) {
                thread.join();
            }
            threads_.clear();
        }
    }

private:
    restinio::server_settings_t<traits> configure(const options& settings) {
        constexpr auto forever = std::chrono::hours(24 * 365);
        restinio::server_settings_t<traits> result;
        result.address(settings.address)
            .port(settings.port)
            .handle_request_timeout(forever)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}.max_body_size(
                    settings.max_body_bytes))
            .acceptor_post_bind_hook([this](auto& acceptor) {
                port_ = acceptor.local_endpoint().port();
            })
            .request_handler([this](restinio::request_handle_t call) {
                handler_(to_request(*call),
                         std::make_shared<writer>(call, *context_));
                return restinio::request_accepted();
            });
        return result;
    }

    asio::io_context own_context_;
    asio::io_context* context_;
    request_handler handler_;
    std::uint16_t port_ = 0;
    restinio_server http_;
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>>
        work_;
    std::vector<std::thread> threads_;
};

absl::StatusOr<std::unique_ptr<server>> server::start(const options& settings,
                                                      request_handler handler) {
    try {
        auto state = std::make_shared<impl>(settings, std::move(handler));
        state->open(settings);
        return std::unique_ptr<server>(new server(std::move(state)));
    } catch (const std::exception& error) {
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", settings.address, ":",
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
