#include "calls/call_manager.hpp"

#include <utility>

#include "absl/strings/str_cat.h"
#include "base/hash.hpp"
#include "calls/call_responses.hpp"

namespace bronzehub::calls {
namespace {

using base::call_outcome;
using base::refusal;
using base::refusal_code;

// Tokens are estimated from bytes until the engine reports its count.
constexpr double bytes_per_input_token = 4;

constexpr int first_server_error = 500;

// Output units of a call that reported none: the call itself.
constexpr std::uint32_t single_output_unit = 1;

struct reported_usage {
    std::optional<double> input_tokens;
    std::optional<double> output_tokens;
};

reported_usage read_usage(std::string_view text) {
    reported_usage result;
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return result;
    }
    const auto usage = document.find("usage");
    if (usage == document.end() || !usage->is_object()) {
        return result;
    }
    const auto read = [&](const char* key, std::optional<double>& out) {
        const auto found = usage->find(key);
        if (found != usage->end() && found->is_number()) {
            out = found->get<double>();
        }
    };
    read("prompt_tokens", result.input_tokens);
    read("completion_tokens", result.output_tokens);
    return result;
}

// A response that was passed through is not there to be recorded, and a record
// does not say how its body is encoded.
bool is_recordable(const attempt_result& result) {
    return !result.started &&
           !base::find_header(result.headers, "Content-Encoding");
}

}  // namespace

std::string_view to_string(call_step step) {
    switch (step) {
        case call_step::claiming:
            return "claiming";
        case call_step::waiting:
            return "waiting";
        case call_step::sent:
            return "sent";
        case call_step::detached:
            return "detached";
    }
    return "";
}

struct call_manager::call {
    call_id id = 0;
    std::string request_id;
    routed_call request;
    std::shared_ptr<http_server::response_writer> writer;
    call_step step = call_step::waiting;
    bool claimed = false;
    bool may_have_run = false;  // An attempt was handed over and not undone.
    bool started = false;       // The caller has the head of the response.
    bool passed_bytes = false;  // What the caller has are not events.
    std::uint32_t attempt = 0;
    std::uint64_t delivered_events = 0;
    base::time_point admitted_at;
    base::backend_server_id server;
    backend_client::handle transfer{};
    std::shared_ptr<response_relay> relay;
};

call_manager::call_manager(manager_options options, base::clock clock,
                           claim_hooks claims, schedule_hooks schedule,
                           transfer_hooks transfers)
    : options_(std::move(options)),
      clock_(std::move(clock)),
      claims_(std::move(claims)),
      schedule_(std::move(schedule)),
      transfers_(std::move(transfers)) {}

call_manager::~call_manager() = default;

call_manager::call* call_manager::find(call_id id) {
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : found->second.get();
}

void call_manager::admit(call_id id, std::string request_id,
                         routed_call request,
                         std::shared_ptr<http_server::response_writer> writer) {
    auto created = std::make_unique<call>();
    created->id = id;
    created->request_id = std::move(request_id);
    created->request = std::move(request);
    created->writer = std::move(writer);
    created->admitted_at = clock_.now();
    call& target = *created;
    calls_.emplace(id, std::move(created));
    buffered_bytes_ += target.request.body.size();
    ++counters_.admitted;

    target.writer->on_closed(
        [this, id] { transfers_.post([this, id] { caller_left(id); }); });
    if (!target.request.idempotency_key) {
        enqueue(target);
        return;
    }
    target.step = call_step::claiming;
    claims_.acquire(id, target.request, [this, id](claim_decision decision) {
        on_claim(id, std::move(decision));
    });
}

void call_manager::on_claim(call_id id, claim_decision decision) {
    call* target = find(id);
    if (target == nullptr) {
        // The caller left while the claim was being written.
        if (std::holds_alternative<claim_granted>(decision)) {
            claims_.abandon(id);
        }
        return;
    }
    if (auto* recorded = std::get_if<recorded_response>(&decision)) {
        ++counters_.replayed;
        target->writer->respond(
            recorded->status,
            response_headers(recorded->headers, target->request_id),
            std::move(recorded->body));
        erase(*target);
        return;
    }
    if (const auto* refused = std::get_if<refusal>(&decision)) {
        end_refused(*target, *refused);
        return;
    }
    target->claimed = true;
    enqueue(*target);
}

void call_manager::enqueue(call& target) {
    target.step = call_step::waiting;
    dispatch::waiting_call waiting;
    waiting.id = target.id;
    waiting.service = target.request.service;
    waiting.organisation = target.request.organisation;
    waiting.cost_hint = target.request.cost_hint;
    waiting.deadline = target.admitted_at + target.request.deadline;
    waiting.queue_limit = target.request.waiting_limit;
    const call_id id = target.id;
    if (const auto refused = schedule_.submit(waiting)) {
        refuse(id, *refused);
    }
}

void call_manager::start(call_id id, base::backend_server_id server) {
    call* target = find(id);
    if (target == nullptr) {
        schedule_.finished(id, {.outcome = call_outcome::not_run});
        return;
    }
    target->server = server;
    const std::string address = transfers_.address_of(server);
    if (address.empty()) {
        schedule_.returned(id, false);
        return;
    }
    if (target->claimed && !target->may_have_run && !claims_.mark_sent(id)) {
        schedule_.finished(id, {.outcome = call_outcome::not_run});
        end_refused(*target,
                    {refusal_code::claim_unavailable, call_outcome::not_run,
                     "the claim of the idempotency key is not held any more",
                     std::nullopt});
        return;
    }
    send_attempt(*target, address);
}

backend_client::backend_request call_manager::make_request(
    const call& target, std::string address) const {
    backend_client::backend_request request;
    request.address = std::move(address);
    request.method = target.request.method;
    request.path = target.request.path;
    request.headers = target.request.headers;
    request.headers.push_back(
        {std::string(request_id_header), target.request_id});
    if (target.delivered_events > 0) {
        request.headers.push_back({std::string(resume_from_header),
                                   std::to_string(target.delivered_events)});
    }
    request.body = target.request.body;
    request.fresh_connection = !target.request.repeatable;
    request.connect_timeout = options_.connect_timeout;
    if (target.request.streamed) {
        request.idle_timeout = options_.stream_idle_timeout;
    }
    return request;
}

void call_manager::send_attempt(call& target, const std::string& address) {
    const call_id id = target.id;
    const std::uint32_t attempt = ++target.attempt;
    target.step = call_step::sent;
    if (!target.may_have_run) {
        schedule_.sent(target.request.organisation, target.request.service);
    }
    target.may_have_run = true;

    relay_options options = options_.relay;
    options.request_id = target.request_id;
    options.already_started = target.started;
    options.delivered_events = target.delivered_events;
    options.event_stream = target.request.streamed;
    if (target.claimed) {
        options.collect_bytes = options_.recorded_response_bytes;
    }
    // The handle is known only after `send`, and events may come before that.
    const auto transfer =
        std::make_shared<std::atomic<backend_client::handle>>();
    relay_hooks hooks;
    hooks.pause = [this, transfer] { transfers_.pause(transfer->load()); };
    hooks.resume = [this, transfer] { transfers_.resume(transfer->load()); };
    hooks.ended = [this, id, attempt](attempt_result result) {
        transfers_.post([this, id, attempt, result = std::move(result)] {
            on_attempt_ended(id, attempt, result);
        });
    };
    target.relay = std::make_shared<response_relay>(
        std::move(options), clock_, target.writer, std::move(hooks));
    const backend_client::handle handle =
        transfers_.send(make_request(target, address), target.relay->events());
    transfer->store(handle);
    // The attempt may have ended, and the call with it, within `send`.
    if (call* still = find(id); still != nullptr && still->attempt == attempt) {
        still->transfer = handle;
    }
}

void call_manager::on_attempt_ended(call_id id, std::uint32_t attempt,
                                    const attempt_result& result) {
    call* target = find(id);
    if (target == nullptr || target->attempt != attempt) {
        ++counters_.late_results;
        return;
    }
    target->passed_bytes =
        target->passed_bytes ||
        (result.started && !target->started && !result.streamed);
    target->started = result.started;
    target->delivered_events = result.events;
    if (result.kind == backend_client::outcome::not_sent) {
        on_not_sent(*target);
        return;
    }
    // Only its final event makes an event stream whole. An error response to a
    // resumed attempt does not complete a stream that the caller has begun to
    // read.
    const bool needs_done = target->request.streamed && !target->passed_bytes &&
                            (result.streamed || result.started);
    const bool whole =
        result.kind == backend_client::outcome::completed && !needs_done;
    if (whole || result.done) {
        on_completed(*target, result);
    } else {
        on_broken(*target, result);
    }
}

void call_manager::on_not_sent(call& target) {
    // Earlier attempts of a repeatable call may have run.
    if (target.attempt == 1) {
        target.may_have_run = false;
        if (target.claimed) {
            claims_.mark_not_sent(target.id);
        }
    }
    const call_id id = target.id;
    if (target.step == call_step::detached) {
        schedule_.finished(
            id, {.outcome = call_outcome::not_run, .completed = false});
        if (target.claimed) {
            claims_.abandon(id);
        }
        erase(target);
        return;
    }
    // Attempt numbers count calls that a backend server may have seen.
    target.attempt = target.may_have_run ? target.attempt : 0;
    target.step = call_step::waiting;
    schedule_.returned(id, target.started);
}

void call_manager::on_completed(call& target, const attempt_result& result) {
    const bool failed = result.status >= first_server_error;
    if (failed && try_again(target, result)) {
        return;
    }
    release_slot(target, result, !failed);
    if (target.claimed && !is_recordable(result)) {
        claims_.mark_unknown(target.id);
    } else if (target.claimed) {
        claims_.complete(target.id,
                         {result.status, result.headers, result.body});
    }
    ++counters_.completed;
    answer(target, result);
    erase(target);
}

void call_manager::answer(call& target, const attempt_result& result) {
    if (target.step == call_step::detached) {
        return;
    }
    if (result.started) {
        target.writer->finish();
        return;
    }
    target.writer->respond(result.status,
                           response_headers(result.headers, target.request_id),
                           result.body);
}

void call_manager::on_broken(call& target, const attempt_result& result) {
    if (try_again(target, result)) {
        return;
    }
    release_slot(target, result, false);
    end_refused(target, {refusal_code::backend_failed, call_outcome::unknown,
                         absl::StrCat("the backend server's response broke "
                                      "off: ",
                                      result.error),
                         std::nullopt});
}

bool call_manager::continues_by_events(const call& target) {
    return target.request.streamed && !target.passed_bytes;
}

bool call_manager::try_again(call& target, const attempt_result& result) {
    // A response that was passed through cannot be taken back. An event stream
    // continues behind its last whole event.
    const bool continues = !result.started || continues_by_events(target);
    const bool in_time =
        clock_.now() < target.admitted_at + target.request.deadline ||
        result.started;
    if (!target.request.repeatable || !continues || !in_time ||
        target.step != call_step::sent ||
        target.attempt >= options_.max_attempts ||
        !schedule_.take_retry(target.request.organisation,
                              target.request.service)) {
        return false;
    }
    ++(result.started ? counters_.resumed : counters_.retried);
    schedule_.progress(target.id, cost_of(target, result));
    target.step = call_step::waiting;
    schedule_.returned(target.id, result.started);
    return true;
}

double call_manager::cost_of(const call& target,
                             const attempt_result& result) const {
    const auto& costs = target.request.costs;
    if (target.request.kind == configuration::service_kind::plain) {
        return costs.per_call;
    }
    const reported_usage usage =
        read_usage(result.streamed ? result.last_event : result.body);
    const double input = usage.input_tokens.value_or(
        static_cast<double>(target.request.body.size()) /
        bytes_per_input_token);
    const double output =
        usage.output_tokens.value_or(static_cast<double>(result.events));
    return costs.per_call + costs.per_input_token * input +
           costs.per_output_token * output;
}

void call_manager::release_slot(call& target, const attempt_result& result,
                                bool completed) {
    dispatch::finished_call end;
    end.outcome = completed ? call_outcome::run : call_outcome::unknown;
    end.completed = completed;
    end.cost = cost_of(target, result);
    end.output_units =
        result.events > 0
            ? static_cast<std::uint32_t>(result.events)
            : static_cast<std::uint32_t>(
                  read_usage(result.body)
                      .output_tokens.value_or(single_output_unit));
    end.first_byte = result.first_byte;
    end.total = result.total;
    schedule_.finished(target.id, end);
    schedule_.measured(target.request.service, end.first_byte, end.total);
}

void call_manager::refuse(call_id id, const refusal& why) {
    call* target = find(id);
    if (target == nullptr) {
        return;
    }
    refusal adjusted = why;
    if (target->may_have_run) {
        adjusted.outcome = call_outcome::unknown;
    }
    end_refused(*target, adjusted);
}

void call_manager::end_refused(call& target, const refusal& why) {
    if (target.claimed) {
        target.may_have_run ? claims_.mark_unknown(target.id)
                            : claims_.abandon(target.id);
    }
    ++(why.outcome == call_outcome::not_run ? counters_.refused_not_run
                                            : counters_.refused_unknown);
    if (target.step != call_step::detached) {
        if (!target.started) {
            respond_refusal(*target.writer, why, target.request_id);
        } else {
            ++counters_.aborted_streams;
            continues_by_events(target)
                ? abort_stream(*target.writer, why, target.request_id)
                : target.writer->abort();
        }
    }
    erase(target);
}

void call_manager::caller_left(call_id id) {
    call* target = find(id);
    if (target == nullptr) {
        return;
    }
    ++counters_.cancelled;
    if (target->step == call_step::sent && !target->request.repeatable) {
        // Cancelling could leave the call half done; its end is recorded for
        // the idempotency key.
        target->step = call_step::detached;
        target->relay->caller_left();
        return;
    }
    if (target->step == call_step::sent) {
        target->relay->detach();
        transfers_.cancel(target->transfer);
        attempt_result partial;
        partial.streamed = true;
        partial.events = target->relay->delivered_events();
        dispatch::finished_call end;
        end.outcome = call_outcome::unknown;
        end.cost = cost_of(*target, partial);
        schedule_.finished(id, end);
    }
    if (target->step == call_step::waiting) {
        schedule_.cancel(id);
    }
    if (target->claimed) {
        target->may_have_run ? claims_.mark_unknown(id) : claims_.abandon(id);
    }
    erase(*target);
}

void call_manager::tick() {
    for (const auto& [id, target] : calls_) {
        if (target->step != call_step::sent ||
            target->request.kind != configuration::service_kind::model) {
            continue;
        }
        attempt_result so_far;
        so_far.streamed = true;
        so_far.events = target->relay->delivered_events();
        schedule_.progress(id, cost_of(*target, so_far));
    }
}

void call_manager::erase(call& target) {
    buffered_bytes_ -= target.request.body.size();
    calls_.erase(target.id);
}

nlohmann::json call_manager::dump() const {
    nlohmann::json running = nlohmann::json::array();
    const base::time_point now = clock_.now();
    for (const auto& [id, target] : calls_) {
        nlohmann::json row;
        row["request_id"] = target->request_id;
        row["organisation"] = target->request.organisation.value();
        row["service"] = target->request.service.value();
        row["step"] = to_string(target->step);
        row["attempt"] = target->attempt;
        row["backend_server"] = target->server.value();
        row["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                            now - target->admitted_at)
                            .count();
        row["events_delivered"] =
            target->relay ? target->relay->delivered_events() : 0;
        running.push_back(std::move(row));
    }
    nlohmann::json result;
    result["calls"] = std::move(running);
    result["buffered_bytes"] = buffered_bytes_;
    return result;
}

}  // namespace bronzehub::calls
