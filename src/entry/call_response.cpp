// Member functions of `call` that handle the response of a backend server.
#include <algorithm>
#include <utility>

#include "entry/call.hpp"
#include "entry/response_limits.hpp"
#include "platform/message_codec.hpp"

namespace bronzehub::entry {
namespace {

using memory_budget::memory_cause;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

// Unsent bytes to a slow caller from which on its backend server is not read.
constexpr std::size_t max_unsent_bytes = std::size_t{256} * 1024;

// Responses up to this size are read without asking for memory.
constexpr std::size_t unreserved_response_bytes = std::size_t{8} * 1024;
// Delay before another attempt to get memory for a response.
constexpr milliseconds memory_retry_delay{20};
// What the kernel may hold for a backend server that is not read.
constexpr std::size_t unread_response_bytes = std::size_t{128} * 1024;

constexpr int ok = 200;
constexpr int misdirected = 421;
constexpr int service_unavailable = 503;

// Returns the Content-Type without its parameters.
std::string media_type(const base::http_headers& headers) {
    const auto type = base::find_header(headers, "Content-Type");
    const std::string_view text = type ? *type : std::string_view();
    const std::string_view bare = text.substr(0, text.find(';'));
    return std::string(bare.substr(0, bare.find_last_not_of(' ') + 1));
}

}  // namespace

void call::on_server_state(
    const fleet_state::backend_server& server, int status,
    const fleet_state::response_description& description) {
    if (status == misdirected) {
        return;  // Another server responded.
    }
    if (description.is_leaving) {
        environment_.on_server_leaving(server);
    }
    const auto* listed = environment_.servers.find_available(server.id);
    if (status == service_unavailable && description.retry_after &&
        listed != nullptr && listed->started_at_ms == server.started_at_ms) {
        environment_.status.pause(server.id, *description.retry_after);
        environment_.reporter.on_pause_requested(report_,
                                                 *description.retry_after);
    }
}

bool call::on_head(attempt& current, const net::message_head& head) {
    auto description = platform_wire::describe_response(head.headers);
    if (description.request_id && *description.request_id != description_.id) {
        return false;  // A late response to another request.
    }
    if (!description.request_id && current.connection->was_used()) {
        // It may answer an earlier request on the connection, so not even a
        // rejection shows that this one has not run.
        current.connection->fail_exchange(
            "response without a request id on a reused connection");
        return true;
    }
    on_server_state(current.server, head.status, description);
    current.status = head.status;
    current.headers = head.headers;
    current.description = std::move(description);
    if (current.description.keep_alive_timeout) {
        current.connection->set_keep_alive_timeout(
            *current.description.keep_alive_timeout);
    }
    if (current.description.weights) {
        environment_.status.on_weights_report(current.server.id,
                                              *current.description.weights);
    }
    if (current.description.cold_remaining) {
        environment_.warmth.on_reported(current.server.id,
                                        *current.description.cold_remaining);
    }
    if (current.description.load) {
        environment_.status.on_load_report(current.server.id,
                                           *current.description.load);
    }
    current.is_stream = route_->kind == fleet_state::route_kind::streaming &&
                        head.status == ok &&
                        current.description.has_signature &&
                        (!current.is_resumption ||
                         base::equal_header_names(media_type(head.headers),
                                                  response_media_type_));
    const response_properties properties{
        current.is_stream, current.description.has_signature,
        current.description.not_run || current.status == misdirected,
        head.content_length, current.is_resumption};
    current.max_body_bytes = max_body_bytes(properties);
    if (const std::string error = head_error(properties); !error.empty()) {
        current.connection->fail_exchange(error);
    } else if (!current.is_stream &&
               head.content_length > unreserved_response_bytes) {
        reserve_response(current,
                         static_cast<std::size_t>(*head.content_length));
    }
    return true;
}

void call::reserve_response(attempt& current, std::size_t bytes) {
    auto& memory = caller_->memory();
    const auto& other =
        is_second(current.connection.get()) ? attempt_ : second_;
    if (memory.try_set(memory_cause::responses,
                       bytes + (other ? other->reserved_bytes : 0))) {
        current.reserved_bytes = bytes;
        current.body.reserve(bytes);
        if (std::exchange(current.waits_for_memory, false)) {
            memory.set(memory_cause::unread, 0);
            current.connection->resume_reading();
        }
        return;
    }
    if (!std::exchange(current.waits_for_memory, true)) {
        memory.on_denied(memory_cause::responses);
        memory.set(memory_cause::unread, unread_response_bytes);
    }
    current.connection->pause_reading();
    environment_.pacer.defer(
        memory_retry_delay,
        [self = shared_from_this(), connection = current.connection, bytes] {
            auto& waiting = self->is_second(connection.get()) ? self->second_
                                                              : self->attempt_;
            if (!self->ended_ && waiting && waiting->connection == connection &&
                !connection->is_closed()) {
                self->reserve_response(*waiting, bytes);
            }
        });
}

void call::on_body(std::string_view bytes) {
    if (!attempt_ || ended_) {
        return;
    }
    if (attempt_->is_stream) {
        relay_events(bytes);
        return;
    }
    append_body(*attempt_, bytes);
}

void call::append_body(attempt& current, std::string_view bytes) {
    if (current.body.size() + bytes.size() > current.max_body_bytes) {
        // Frees the buffer, as the next attempt may have to wait.
        std::string().swap(current.body);
        current.connection->fail_exchange(
            body_limit_error(current.max_body_bytes));
        return;
    }
    current.body.append(bytes);
    const std::size_t size = current.body.size();
    if (size > unreserved_response_bytes && size > current.reserved_bytes &&
        !current.waits_for_memory) {
        reserve_response(current, std::min(2 * size, current.max_body_bytes));
    }
}

void call::relay_events(std::string_view bytes) {
    const std::string_view events = relay_.feed(bytes);
    caller_->memory().set(memory_cause::responses, relay_.buffer_memory());
    if (relay_.failed()) {
        attempt_->connection->fail_exchange(relay_.error());
    }
    if (events.empty()) {
        return;
    }
    if (!std::exchange(attempt_->has_event, true)) {
        clear_segments();
    }
    const bool is_first = !std::exchange(response_started_, true);
    if (is_first) {
        cancel_second();
        record_latency();
        report_.status = attempt_->status;
        const auto now = environment_.loop.now();
        report_.first_byte_after_ms =
            duration_cast<milliseconds>(now - request_.arrived_at).count();
        response_media_type_ = media_type(attempt_->headers);
        caller_->begin_response(attempt_->status, attempt_->headers);
    }
    if (search_ && search_->slot_number()) {
        const base::duration since_grant =
            environment_.loop.now() - server_selected_at_;
        environment_.schedule.report_first_event(
            *search_->slot_number(), since_grant,
            seconds(since_grant) <=
                (1 - max_waiting_fraction) * seconds(route_->target_latency));
    }
    report_.events = relay_.event_count();
    caller_->write_body(events);
    if (caller_->unsent_bytes() > max_unsent_bytes) {
        attempt_->connection->pause_reading();
        caller_->memory().set(memory_cause::unread, unread_response_bytes);
        caller_->on_drained(
            [caller = caller_.get(), connection = attempt_->connection] {
                caller->memory().set(memory_cause::unread, 0);
                connection->resume_reading();
            });
    } else if (!is_first) {
        pace_reading();
    }
}

void call::pace_reading() {
    const base::duration delay =
        environment_.load.event_batching_delay(environment_.max_delivery_delay);
    if (delay > base::duration(0)) {
        attempt_->connection->pause_reading();
        environment_.pacer.defer(delay, [connection = attempt_->connection] {
            connection->resume_reading();
        });
    }
}

bool call::is_rejected_for_weights() const {
    return attempt_ && attempt_->status == misdirected &&
           fleet_state::is_rejected_for_weights(
               description_, attempt_->description, attempt_->server.id);
}

overload::attempt_outcome call::classify_attempt(const attempt& ended,
                                                 exchange_result result) const {
    using overload::attempt_outcome;
    if (result == exchange_result::not_sent ||
        result == exchange_result::connect_timed_out ||
        result == exchange_result::expired) {
        return attempt_outcome::not_sent;
    }
    // The head is sufficient evidence that the request was not run.
    if (ended.description.not_run || ended.status == misdirected) {
        return attempt_outcome::rejected;
    }
    if (result == exchange_result::failed) {
        return attempt_outcome::broken;
    }
    if (ended.is_stream) {
        // A stream without events is complete too, but not if only the end of
        // the connection says so: a server that crashes closes it as well.
        const bool crashed_before_events =
            !ended.has_event && ended.connection->response_ended_by_close();
        return crashed_before_events || relay_.has_partial_event() ||
                       relay_.failed() || relay_.is_replaying()
                   ? attempt_outcome::broken
                   : attempt_outcome::stream_ended;
    }
    // A response without a signature was not made by a backend server.
    return ended.description.has_signature ? attempt_outcome::answered
                                           : attempt_outcome::broken;
}

}  // namespace bronzehub::entry
