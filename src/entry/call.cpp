#include "entry/call.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/hash.hpp"
#include "entry/refusal.hpp"
#include "platform/message_codec.hpp"

namespace bronzehub::entry {
namespace {

using overload::attempt_action;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Number of failed connects after which a request may still be sent to another
// backend server.
constexpr std::uint32_t max_connect_failures = 3;
// Retry-After while the configuration is missing or outdated.
constexpr milliseconds configuration_retry_after{1000};
constexpr milliseconds draining_retry_after{100};

// A larger body is sent without a copy; a smaller one is sent together with the
// head, in one system call.
constexpr std::size_t max_copied_body_bytes = std::size_t{16} * 1024;

// Cause of a 502 in place of a server's refusal that does not state that the
// request was not executed.
constexpr std::string_view unconfirmed_refusal = "unconfirmed refusal";

constexpr int first_redirection = 300;
constexpr int unauthorised = 401;
constexpr int not_found = 404;
constexpr int misdirected = 421;
constexpr int bad_gateway = 502;
constexpr int gateway_timeout = 504;
constexpr int first_server_error = 500;

}  // namespace

call::call(call_environment& environment,
           std::shared_ptr<net::caller_connection> caller,
           net::caller_request request, std::function<void(call*)> on_end)
    : environment_(environment),
      caller_(std::move(caller)),
      request_(std::move(request)),
      on_end_(std::move(on_end)) {}

bool has_fresh_keys(const call_environment& environment) {
    return environment.loop.now() -
               environment.fleet.configuration_confirmed_at() <=
           environment.max_key_age;
}

std::optional<std::string_view> organisation_of(
    const call_environment& environment,
    const fleet_state::configuration& configuration,
    const fleet_state::request_description& request) {
    const auto* organisation =
        request.key.empty() || !has_fresh_keys(environment)
            ? nullptr
            : configuration.find_organisation_by_key(request.key);
    return organisation == nullptr
               ? std::nullopt
               : std::optional<std::string_view>(organisation->name);
}

void count_host_refusal(call_environment& environment,
                        const fleet_state::configuration& configuration,
                        const fleet_state::request_description& request) {
    const double cost = fleet_state::token_cost(request);
    const auto organisation =
        organisation_of(environment, configuration, request);
    if (cost > 0 && organisation) {
        environment.shares.on_requested(*organisation, cost);
        environment.shares.on_refused(*organisation, cost,
                                      overload::refusal_point::host);
    }
}

// A request that was accepted together with its connection is only counted
// here.
bool call::admit() {
    const auto organisation =
        organisation_of(environment_, *configuration_, description_)
            .value_or("");
    if (!caller_->take_admission() &&
        environment_.admission.should_refuse_next() &&
        !environment_.admission.try_exempt(organisation)) {
        return false;
    }
    environment_.admission.on_admitted(organisation);
    return true;
}

base::duration call::time_left() const {
    return deadline_ - environment_.loop.now();
}

void call::start() {
    description_ = platform_wire::describe_request(request_.headers);
    report_.request_id = description_.id;
    configuration_ = environment_.fleet.configuration();
    if (!environment_.fleet.is_ready()) {
        refuse("no configuration yet", configuration_retry_after);
        return;
    }
    if (!admit()) {
        // A new connection of the caller may reach a host with spare time.
        caller_->close_after_response();
        count_host_refusal(environment_, *configuration_, description_);
        refuse(host_overloaded, overloaded_retry_after);
        return;
    }
    if (environment_.draining()) {
        refuse("draining", draining_retry_after);
        return;
    }
    auto binding = find_binding(configuration_);
    if (!binding) {
        return;
    }
    bind(*std::move(binding));
    milliseconds limit = route_->timeout;
    if (description_.deadline) {
        limit = limit.count() > 0 ? std::min(limit, *description_.deadline)
                                  : *description_.deadline;
    }
    deadline_ = request_.arrived_at + limit;
    deadline_timer_ = environment_.loop.run_after(
        time_left(), [self = shared_from_this()] { self->on_deadline(); });
    environment_.retries.on_request(service_->name);
    environment_.hedging.on_request(service_->name, work());
    if (is_engine_request()) {
        cost_ = fleet_state::token_cost(
            description_, environment_.outputs.expected_tokens(
                              {organisation_, route_->name}, description_));
        environment_.shares.on_requested(organisation_, cost_);
    }
    select_server();
}

std::optional<call::route_binding> call::find_binding(
    fleet_state::configuration_pointer configuration) {
    report_.configuration_version = configuration->version();
    report_.configuration_age_ms =
        duration_cast<milliseconds>(
            environment_.loop.now() -
            environment_.fleet.configuration_confirmed_at())
            .count();
    const auto* route =
        configuration->find_route(description_.host, request_.target);
    if (route == nullptr) {
        respond_error(not_found, "no route");
        return std::nullopt;
    }
    report_.route = route->name;
    auto organisation = check_key(*configuration, *route);
    if (!organisation) {
        return std::nullopt;
    }
    const auto& service = configuration->choose_service(
        *route, base::stable_hash(description_.id));
    return route_binding{std::move(configuration), route, &service,
                         *std::move(organisation)};
}

void call::bind(route_binding binding) {
    configuration_ = std::move(binding.configuration);
    route_ = binding.route;
    service_ = binding.service;
    organisation_ = std::move(binding.organisation);
    report_.service = service_->name;
    report_.organisation = organisation_;
}

std::optional<std::string> call::check_key(
    const fleet_state::configuration& configuration,
    const fleet_state::route& route) {
    if (!configuration.requires_keys()) {
        return std::string();
    }
    if (!route.is_public && !has_fresh_keys(environment_)) {
        refuse("keys not fresh", configuration_retry_after);
        return std::nullopt;
    }
    const auto organisation =
        organisation_of(environment_, configuration, description_);
    if (!route.is_public && !organisation) {
        respond_error(unauthorised, "unknown key");
        return std::nullopt;
    }
    return std::string(organisation.value_or(""));
}

bool call::rebind() {
    const auto& newest = environment_.fleet.configuration();
    // The keys may have become too old while the request waited. A stream that
    // has begun is the same request and may be resumed.
    if (newest == configuration_ &&
        (response_started_ || organisation_.empty() ||
         has_fresh_keys(environment_))) {
        return true;
    }
    auto binding = find_binding(newest);
    if (!binding) {
        return false;
    }
    if (!allows_another_attempt(*binding)) {
        respond_error(bad_gateway, "route changed");
        return false;
    }
    bind(*std::move(binding));
    return true;
}

bool call::allows_another_attempt(const route_binding& binding) const {
    if (response_started_) {
        return may_resume(*binding.route) &&
               binding.service->name == service_->name;
    }
    return !may_have_run_ || binding.route->is_idempotent();
}

bool call::may_resume(const fleet_state::route& route) const {
    return route.resumable && relay_.can_resume() &&
           route.kind == fleet_state::route_kind::streaming;
}

overload::completion_estimate::server_load call::load_of(
    const fleet_state::backend_server& server) const {
    return {std::max(environment_.status.find_or_create(server.id).in_flight,
                     environment_.status.reported_load(server.id)),
            server.slots};
}

// The caller of a stream sees how far it came, so only requests to plain
// services count.
bool call::must_end_before_stop() const {
    return !is_engine_request() && !route_->is_idempotent();
}

bool call::would_outlast_stop(const fleet_state::backend_server& server) const {
    const auto left = environment_.time_to_stop();
    return left && must_end_before_stop() &&
           environment_.completions.expected(route_->name, load_of(server)) >
               *left;
}

void call::send(const fleet_state::backend_server& server) {
    if (!rebind()) {
        return;
    }
    if (!check_segments()) {
        return;
    }
    // On an overloaded host, the event that closes the caller's connection may
    // still be queued behind the event that is handled now.
    if (environment_.load.is_late() && caller_->is_closed_by_peer()) {
        finish(call_outcome::abandoned, "caller left");
        return;
    }
    if (std::ranges::find(route_->services, server.service,
                          &fleet_state::weighted_service::service) ==
        route_->services.end()) {
        release_slot();
        select_server();
        return;
    }
    if (would_outlast_stop(server)) {
        release_slot();
        take_back_grant();
        refuse("stopping before the request could end", draining_retry_after);
        return;
    }
    attempt_ = open_attempt(server, search_.get());
    attempt_->is_resumption = response_started_;
    attempt_->earlier_events = relay_.event_count();
    report_.server = server.id;
    report_.attempts = attempts_sent_;
    if (report_.placed_after_ms < 0) {
        report_.placed_after_ms = duration_cast<milliseconds>(
                                      server_selected_at_ - request_.arrived_at)
                                      .count();
    }
    arm_second_attempt();
    start_exchange(*attempt_);
}

call::attempt call::open_attempt(const fleet_state::backend_server& server,
                                 const place_search* search) {
    attempt result;
    if (search != nullptr && is_engine_request()) {
        result.send_before = search->send_before();
    }
    result.server = server;
    result.load = load_of(server);
    environment_.reachability.on_request_sent(server.failure_domain);
    auto& status = environment_.status.find_or_create(server.id);
    ++status.in_flight;
    ++attempts_sent_;
    result.health_epoch = status.health.epoch();
    result.sent_at = environment_.loop.now();
    result.connection = environment_.pool.acquire(
        instance_name(server), server.address, route_->is_idempotent());
    return result;
}

void call::start_exchange(const attempt& target) {
    platform_wire::forwarded_metadata metadata;
    metadata.expected_server = target.server.id;
    metadata.organisation = organisation_;
    metadata.time_left =
        std::max(duration_cast<milliseconds>(time_left()), milliseconds(1));
    if (target.is_resumption) {
        metadata.resume_after = relay_.last_event_id();
        ++report_.resumptions;
    }
    outgoing_request outgoing;
    outgoing.method = request_.method;
    outgoing.target = request_.target;
    outgoing.headers =
        platform_wire::encode_forwarded_headers(request_.headers, metadata);
    if (request_.body.size() > max_copied_body_bytes) {
        large_body_ = std::make_shared<const std::string>(
            std::exchange(request_.body, {}));
    }
    outgoing.body = request_.body;
    outgoing.shared_body = large_body_;
    outgoing.send_before = target.send_before;
    const auto connection = target.connection;
    const auto self = shared_from_this();
    connection->send(
        outgoing,
        {[self, key = connection.get()](const net::message_head& head) {
             auto& current =
                 self->is_second(key) ? self->second_ : self->attempt_;
             return !current || self->on_head(*current, head);
         },
         [self, key = connection.get()](std::string_view bytes) {
             if (self->is_second(key)) {
                 self->on_second_body(bytes);
             } else {
                 self->on_body(bytes);
             }
         },
         [self, key = connection.get()](exchange_result result,
                                        std::string_view reason) {
             if (self->ended_) {
                 return;
             }
             if (self->is_second(key)) {
                 self->on_second_end(result, reason);
             } else if (self->attempt_) {
                 const auto used = self->attempt_->connection;
                 const auto used_server = self->attempt_->server;
                 self->on_exchange_end(result, reason);
                 if (result == exchange_result::complete) {
                     self->return_connection(used_server, used);
                 }
             }
         }});
}

void call::return_connection(const fleet_state::backend_server& server,
                             std::shared_ptr<backend_connection> connection) {
    const auto* listed = environment_.servers.find_available(server.id);
    if (listed != nullptr && listed->started_at_ms == server.started_at_ms) {
        environment_.pool.release(instance_name(server), std::move(connection));
    } else {
        connection->close();
    }
}

void call::on_exchange_end(exchange_result result, std::string_view reason) {
    const overload::attempt_outcome outcome =
        classify_attempt(*attempt_, result);
    if (outcome == overload::attempt_outcome::rejected &&
        attempt_->status == misdirected && !is_rejected_for_weights()) {
        environment_.servers.exclude_instance(attempt_->server.id,
                                              attempt_->server.started_at_ms);
    }
    const bool success = outcome == overload::attempt_outcome::stream_ended ||
                         (outcome == overload::attempt_outcome::answered &&
                          attempt_->status < first_server_error);
    update_reachability(result);
    report_.attempt_events = relay_.event_count() - attempt_->earlier_events;
    if (success && must_end_before_stop()) {
        environment_.completions.on_completed(
            route_->name, environment_.loop.now() - attempt_->sent_at,
            attempt_->load);
    }
    // An error may come before the engine reads the prompt.
    if (outcome == overload::attempt_outcome::answered &&
        attempt_->status < first_redirection) {
        clear_segments();
    }
    if (outcome == overload::attempt_outcome::answered) {
        record_latency();
    }
    if (outcome == overload::attempt_outcome::broken) {
        check_liveness();
    }
    end_trial();
    if (result == exchange_result::not_sent && search_) {
        search_->release_unreached();
    }
    // A server that has other weights works.
    end_attempt(success || is_rejected_for_weights(),
                result == exchange_result::complete);
    handle_outcome(outcome, reason);
}

void call::update_reachability(exchange_result result) {
    auto& reachability = environment_.reachability;
    const std::string& domain = attempt_->server.failure_domain;
    const bool was_unreachable = reachability.is_unreachable(domain);
    if (result == exchange_result::connect_timed_out) {
        reachability.on_unreachable(domain, attempt_->server.id);
    } else if (result == exchange_result::complete) {
        reachability.on_reachable(domain);
    }
    if (was_unreachable != reachability.is_unreachable(domain)) {
        environment_.reporter.on_reachability_change(domain, !was_unreachable,
                                                     report_);
    }
}

void call::end_attempt(bool success, bool keep_connection) {
    auto& status = environment_.status.find_or_create(attempt_->server.id);
    status.in_flight -= status.in_flight > 0 ? 1 : 0;
    environment_.status.on_result(attempt_->server.id, attempt_->health_epoch,
                                  success);
    if (!keep_connection) {
        attempt_->connection->close();
    }
    release_slot();
}

void call::take_back_grant() {
    // A resumed stream has begun before.
    if (is_engine_request() && !response_started_ &&
        std::exchange(usage_counted_, false)) {
        environment_.shares.on_grant_unused(organisation_, cost_);
    }
}

void call::release_slot() {
    if (search_) {
        search_->release();
    }
}

void call::correct_cost(call_outcome outcome) {
    if (!is_engine_request() || relay_.event_count() == 0) {
        return;
    }
    const auto tokens = environment_.outputs.on_ended(
        {organisation_, route_->name}, service_->name, description_,
        relay_.event_count(), outcome == call_outcome::delivered);
    if (tokens) {
        environment_.shares.on_cost_corrected(
            organisation_,
            fleet_state::token_cost(description_, *tokens) - cost_);
    }
}

void call::handle_outcome(overload::attempt_outcome outcome,
                          std::string_view reason) {
    using overload::attempt_outcome;
    if (outcome == attempt_outcome::not_sent ||
        outcome == attempt_outcome::rejected) {
        attempts_sent_ -= outcome == attempt_outcome::not_sent ? 1 : 0;
        take_back_grant();
    } else {
        may_have_run_ = true;
    }
    overload::attempt_context context;
    context.outcome = outcome;
    context.status = attempt_->status;
    context.idempotent = route_->is_idempotent();
    context.response_started = response_started_;
    context.resumable = may_resume(*route_);
    context.attempts_sent = attempts_sent_;
    context.max_attempts = route_->max_attempts;
    context.within_deadline = time_left() > base::duration(0);
    attempt_action action = overload::decide_action(context);
    if ((action == attempt_action::reroute &&
         ++connect_failures_ > max_connect_failures) ||
        (action == attempt_action::retry &&
         !environment_.retries.try_retry(service_->name))) {
        action = overload::decide_action_without_retry(context);
    }
    report_.cause = overload::to_string(outcome);
    const bool usable =
        overload::is_usable(outcome, attempt_->status) &&
        (outcome == attempt_outcome::stream_ended || !response_started_);
    if (!usable) {
        environment_.reporter.on_unusable_attempt(
            report_, absl::StrCat("attempt ", report_.cause), reason,
            attempt_->status);
    }
    if (attempt_->is_resumption) {
        environment_.reporter.on_resumption(report_, report_.cause);
    }
    if (second_ && !usable) {
        promote_second(true);
        return;
    }
    cancel_second();
    perform(action, context);
}

void call::perform(attempt_action action,
                   const overload::attempt_context& context) {
    switch (action) {
        case attempt_action::deliver:
            deliver();
            return;
        case attempt_action::retry:
        case attempt_action::reroute:
            excluded_servers_.insert(attempt_->server.id);
            relay_.switch_server();
            select_server();
            return;
        case attempt_action::respond_unavailable:
            if (is_rejected_for_weights()) {
                reject_expected_weights();
                return;
            }
            refuse(overload::to_string(context.outcome), time_to_next_server());
            return;
        case attempt_action::respond_bad_gateway:
            respond_error(bad_gateway,
                          context.outcome == overload::attempt_outcome::answered
                              ? unconfirmed_refusal
                              : overload::to_string(context.outcome));
            return;
        case attempt_action::abort_response:
            caller_->abort();
            finish(call_outcome::failed, "stream broken");
            return;
    }
}

void call::deliver() {
    if (response_started_) {
        caller_->finish_response();
    } else {
        report_.status = attempt_->status;
        report_.first_byte_after_ms =
            duration_cast<milliseconds>(environment_.loop.now() -
                                        request_.arrived_at)
                .count();
        if (attempt_->body.size() > max_copied_body_bytes) {
            caller_->respond_shared(attempt_->status, attempt_->headers,
                                    std::make_shared<const std::string>(
                                        std::exchange(attempt_->body, {})));
        } else {
            caller_->respond(attempt_->status, attempt_->headers,
                             attempt_->body);
        }
    }
    finish(call_outcome::delivered, "");
}

void call::refuse(std::string_view cause, base::duration retry_after) {
    if (response_started_) {
        caller_->abort();
        finish(call_outcome::failed, "stream not resumed");
        return;
    }
    if (may_have_run_) {
        respond_error(bad_gateway, cause);
        return;
    }
    if (is_engine_request() && !std::exchange(usage_counted_, true)) {
        environment_.shares.on_refused(organisation_, cost_,
                                       overload::refusal_point::engines);
    }
    const refusal response = make_refusal(description_.id, cause, retry_after);
    report_.status = response.status;
    report_.retry_after_ms = response.retry_after.count();
    caller_->respond(response.status, response.headers, response.body);
    finish(call_outcome::refused, cause);
}

// A 421 tells the caller, unlike a 503, that waiting does not help. It states
// likewise that the request has not run.
void call::reject_expected_weights() {
    constexpr std::string_view cause = "no engine has the expected weights";
    if (response_started_ || may_have_run_) {
        refuse(cause, no_server_retry_after);
    } else {
        respond_error(misdirected, cause);
    }
}

void call::respond_error(int status, std::string_view cause) {
    if (response_started_) {
        caller_->abort();
        finish(call_outcome::failed, cause);
        return;
    }
    report_.status = status;
    auto headers = platform_wire::refusal_headers(description_.id);
    headers.push_back({"Content-Type", "application/json"});
    caller_->respond(status, headers,
                     absl::StrCat("{\"error\":\"", std::string(cause), "\"}"));
    finish(status < first_server_error ? call_outcome::rejected
                                       : call_outcome::failed,
           cause);
}

void call::on_deadline() {
    deadline_timer_.reset();
    if (ended_) {
        return;
    }
    const bool in_progress =
        attempt_ && attempt_->connection && !attempt_->connection->is_closed();
    if (in_progress) {
        end_attempt(true, false);
    }
    if (in_progress || may_have_run_) {
        respond_error(gateway_timeout, "deadline passed");
    } else {
        refuse("deadline passed while waiting", no_server_retry_after);
    }
}

void call::on_stop() {
    if (ended_ || response_started_) {
        return;
    }
    if (attempt_ && !attempt_->connection->is_closed()) {
        end_attempt(true, false);
        may_have_run_ = true;
    }
    refuse("stopping", draining_retry_after);
}

void call::on_caller_disconnected() {
    if (ended_) {
        return;
    }
    if (attempt_ && !attempt_->connection->is_closed()) {
        end_attempt(true, false);
    }
    finish(call_outcome::abandoned, "caller left");
}

void call::finish(call_outcome outcome, std::string_view cause) {
    if (std::exchange(ended_, true)) {
        return;
    }
    const auto self = shared_from_this();
    cancel_second();
    release_slot();
    end_trial();
    correct_cost(outcome);
    if (deadline_timer_) {
        environment_.loop.cancel(*std::exchange(deadline_timer_, std::nullopt));
    }
    report_.outcome = outcome;
    report_.cause = cause;
    report_.total_ms = duration_cast<milliseconds>(environment_.loop.now() -
                                                   request_.arrived_at)
                           .count();
    environment_.reporter.on_call(report_);
    on_end_(this);
}

}  // namespace bronzehub::entry
