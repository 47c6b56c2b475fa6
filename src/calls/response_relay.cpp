#include "calls/response_relay.hpp"

#include <utility>

#include "calls/call_responses.hpp"

namespace bronzehub::calls {
namespace {

constexpr std::string_view event_stream_type = "text/event-stream";

bool is_event_stream(const base::http_headers& headers) {
    const auto type = base::find_header(headers, "Content-Type");
    return type && type->starts_with(event_stream_type);
}

}  // namespace

response_relay::response_relay(
    relay_options options, base::clock clock,
    std::shared_ptr<http_server::response_writer> writer, relay_hooks hooks)
    : options_(std::move(options)),
      clock_(std::move(clock)),
      writer_(std::move(writer)),
      hooks_(std::move(hooks)),
      sent_at_(clock_.now()),
      delivered_(options_.delivered_events) {
    result_.started = options_.already_started;
}

backend_client::backend_events response_relay::events() {
    const auto self = shared_from_this();
    return {
        .on_headers =
            [self](int status, const base::http_headers& headers) {
                self->on_headers(status, headers);
            },
        .on_body =
            [self](std::span<const char> bytes) {
                return self->on_body(bytes);
            },
        .on_end =
            [self](const backend_client::call_result& result) {
                self->on_end(result);
            },
    };
}

void response_relay::detach() {
    const std::scoped_lock lock(mutex_);
    detached_ = true;
}

void response_relay::on_headers(int status, const base::http_headers& headers) {
    result_.first_byte = clock_.now() - sent_at_;
    result_.status = status;
    result_.headers = headers;
    // An error status on a resumed stream must not be mixed into it.
    passing_ = status == 200 && is_event_stream(headers);
    result_.streamed = passing_ && options_.event_stream;
}

absl::Status response_relay::on_body(std::span<const char> bytes) {
    const std::scoped_lock lock(mutex_);
    if (detached_) {
        return absl::OkStatus();
    }
    if (!passing_) {
        return collect(bytes);
    }
    absl::Status counted = count_unread(bytes.size());
    if (!counted.ok()) {
        return counted;
    }
    return result_.streamed ? pass_events(bytes) : pass_bytes(bytes);
}

absl::Status response_relay::count_unread(std::size_t bytes) {
    unread_bytes_ += caller_left_ ? bytes : 0;
    return unread_bytes_ > max_unread_bytes
               ? absl::DataLossError("the response goes on without its caller")
               : absl::OkStatus();
}

void response_relay::start_caller() {
    if (result_.started) {
        return;
    }
    result_.started = true;
    writer_->start(result_.status,
                   response_headers(result_.headers, options_.request_id));
}

absl::Status response_relay::pass_events(std::span<const char> bytes) {
    const std::string_view whole = splitter_.feed(bytes);
    if (!whole.empty()) {
        start_caller();
        writer_->write(whole);
        delivered_.store(options_.delivered_events + splitter_.events());
        apply_back_pressure();
    }
    return splitter_.overflowed()
               ? absl::DataLossError(
                     "the stream exceeds the limit of bytes for one event")
               : absl::OkStatus();
}

absl::Status response_relay::pass_bytes(std::span<const char> bytes) {
    start_caller();
    writer_->write({bytes.data(), bytes.size()});
    apply_back_pressure();
    return absl::OkStatus();
}

absl::Status response_relay::collect(std::span<const char> bytes) {
    if (result_.body.size() + bytes.size() <= options_.collect_bytes) {
        result_.body.append(bytes.data(), bytes.size());
        return absl::OkStatus();
    }
    if (options_.already_started) {
        return absl::DataLossError(
            "a long response is no continuation of the caller's stream");
    }
    passing_ = true;
    result_.body.append(bytes.data(), bytes.size());
    return pass_bytes(std::exchange(result_.body, {}));
}

void response_relay::apply_back_pressure() {
    if (writer_->pending_bytes() <= options_.pause_bytes) {
        return;
    }
    hooks_.pause();
    writer_->on_drained([resume = hooks_.resume] { resume(); });
}

void response_relay::on_end(const backend_client::call_result& result) {
    attempt_result ended = std::move(result_);
    ended.kind = result.kind;
    ended.error = result.error;
    ended.done = splitter_.done();
    ended.events = delivered_.load();
    ended.last_event = std::string(splitter_.last_event());
    ended.total = clock_.now() - sent_at_;
    if (ended.kind == backend_client::outcome::completed &&
        !result.end_verified && !ended.done) {
        // Only the end of the connection marked the end of the response, so it
        // may have been cut off.
        ended.kind = backend_client::outcome::broken;
        ended.error = "the end of the response could not be verified";
    }
    hooks_.ended(std::move(ended));
}

}  // namespace bronzehub::calls
