#include "overload/attempt_policy.hpp"

#include <catch2/catch.hpp>

using bronzehub::overload::attempt_action;
using bronzehub::overload::attempt_context;
using bronzehub::overload::attempt_outcome;
using bronzehub::overload::decide_action;
using bronzehub::overload::is_usable;
using bronzehub::overload::to_string;

namespace {

struct test_case {
    const char* name;
    attempt_context context;
    attempt_action expected;
};

attempt_context make_context(attempt_outcome outcome, int status,
                             bool idempotent, std::uint32_t attempts_sent,
                             std::uint32_t max_attempts) {
    attempt_context result;
    result.outcome = outcome;
    result.status = status;
    result.idempotent = idempotent;
    result.attempts_sent = attempts_sent;
    result.max_attempts = max_attempts;
    return result;
}

attempt_context with_response_started(attempt_context base, bool resumable) {
    base.response_started = true;
    base.resumable = resumable;
    return base;
}

attempt_context past_deadline(attempt_context base) {
    base.within_deadline = false;
    return base;
}

}  // namespace

// Guards against executing a request twice, against telling the caller that a
// request was not executed although it may have been, and against dropping a
// complete response.
TEST_CASE("the outcome of an attempt determines the next action") {
    using outcome = attempt_outcome;
    using action = attempt_action;
    const auto [name, context, expected] = GENERATE(values<test_case>({
        {"success", make_context(outcome::answered, 200, true, 1, 2),
         action::deliver},
        {"success of the last attempt",
         make_context(outcome::answered, 200, false, 1, 1), action::deliver},
        {"complete stream of the last attempt",
         with_response_started(
             make_context(outcome::stream_ended, 200, false, 1, 1), false),
         action::deliver},
        {"complete stream without an event",
         make_context(outcome::stream_ended, 200, true, 1, 2), action::deliver},
        {"complete stream after a resumption, attempts left",
         with_response_started(
             make_context(outcome::stream_ended, 200, true, 2, 3), true),
         action::deliver},
        {"complete stream, deadline passed",
         past_deadline(with_response_started(
             make_context(outcome::stream_ended, 200, true, 1, 2), true)),
         action::deliver},
        {"server error, not idempotent",
         make_context(outcome::answered, 500, false, 1, 2), action::deliver},
        {"server error, idempotent",
         make_context(outcome::answered, 500, true, 1, 2), action::retry},
        {"server error, no attempt left",
         make_context(outcome::answered, 500, true, 2, 2), action::deliver},
        {"gateway timeout of the server",
         make_context(outcome::answered, 504, true, 1, 2), action::deliver},
        {"status 503 of the server, not idempotent",
         make_context(outcome::answered, 503, false, 1, 1),
         action::respond_bad_gateway},
        {"status 503 of the server, not idempotent, attempts left",
         make_context(outcome::answered, 503, false, 1, 2),
         action::respond_bad_gateway},
        {"status 503 of the server, deadline passed",
         past_deadline(make_context(outcome::answered, 503, true, 1, 2)),
         action::respond_bad_gateway},
        {"status 503 of the server, idempotent",
         make_context(outcome::answered, 503, true, 1, 2), action::retry},
        {"status 429 of the server, not idempotent",
         make_context(outcome::answered, 429, false, 1, 1),
         action::respond_bad_gateway},
        {"status 429 of the server, idempotent",
         make_context(outcome::answered, 429, true, 1, 2),
         action::respond_bad_gateway},
        {"status 408 of the server, not idempotent",
         make_context(outcome::answered, 408, false, 1, 1),
         action::respond_bad_gateway},
        {"status 503 of the last attempt",
         make_context(outcome::answered, 503, true, 2, 2),
         action::respond_bad_gateway},
        {"status 429 of the last attempt",
         make_context(outcome::answered, 429, true, 2, 2),
         action::respond_bad_gateway},
        {"status 500 of the last attempt",
         make_context(outcome::answered, 500, true, 2, 2), action::deliver},
        {"status 409 of the server",
         make_context(outcome::answered, 409, false, 1, 1), action::deliver},
        {"not sent, not idempotent",
         make_context(outcome::not_sent, 0, false, 0, 1), action::reroute},
        {"not sent, deadline passed",
         past_deadline(make_context(outcome::not_sent, 0, false, 0, 1)),
         action::respond_unavailable},
        {"rejected", make_context(outcome::rejected, 503, false, 1, 2),
         action::retry},
        {"rejected, no attempt left",
         make_context(outcome::rejected, 503, false, 1, 1),
         action::respond_unavailable},
        {"broken, not idempotent",
         make_context(outcome::broken, 0, false, 1, 2),
         action::respond_bad_gateway},
        {"broken, idempotent", make_context(outcome::broken, 0, true, 1, 2),
         action::retry},
        {"broken, idempotent, deadline passed",
         past_deadline(make_context(outcome::broken, 0, true, 1, 2)),
         action::respond_bad_gateway},
        {"broken stream, resumable",
         with_response_started(make_context(outcome::broken, 200, true, 1, 2),
                               true),
         action::retry},
        {"broken stream, not resumable",
         with_response_started(make_context(outcome::broken, 200, false, 1, 2),
                               false),
         action::abort_response},
        {"rejected resumption",
         with_response_started(make_context(outcome::rejected, 503, true, 2, 2),
                               true),
         action::abort_response},
    }));
    CAPTURE(name);
    CHECK(decide_action(context) == expected);
}

// Guards against a caller that is told that its request was not executed, or
// gets a server error, although another attempt could respond.
TEST_CASE("a refusal without evidence is no usable response") {
    using outcome = attempt_outcome;
    const auto [result, status, expected] =
        GENERATE(table<attempt_outcome, int, bool>({
            {outcome::answered, 200, true},
            {outcome::answered, 404, true},
            {outcome::answered, 408, false},
            {outcome::answered, 421, false},
            {outcome::answered, 429, false},
            {outcome::answered, 500, false},
            {outcome::answered, 503, false},
            {outcome::stream_ended, 200, true},
            {outcome::rejected, 200, false},
            {outcome::broken, 200, false},
            {outcome::not_sent, 0, false},
        }));
    CAPTURE(to_string(result), status);
    CHECK(is_usable(result, status) == expected);
}

// Guards against a truncated stream that looks complete to the caller: the
// backend server asked to resume the stream sent a response that is no stream.
TEST_CASE("a response that is no stream does not complete a started stream") {
    using outcome = attempt_outcome;
    using action = attempt_action;
    const auto [name, context, expected] = GENERATE(values<test_case>({
        {"status 500 for a resumption, attempts left",
         with_response_started(make_context(outcome::answered, 500, true, 2, 3),
                               true),
         action::retry},
        {"status 500 for a resumption, no attempt left",
         with_response_started(make_context(outcome::answered, 500, true, 2, 2),
                               true),
         action::abort_response},
        {"status 500 for a resumption, deadline passed",
         past_deadline(with_response_started(
             make_context(outcome::answered, 500, true, 2, 3), true)),
         action::abort_response},
        {"status 503 for a resumption, attempts left",
         with_response_started(make_context(outcome::answered, 503, true, 2, 3),
                               true),
         action::retry},
        {"gateway timeout for a resumption",
         with_response_started(make_context(outcome::answered, 504, true, 2, 3),
                               true),
         action::abort_response},
        {"status 400 for a resumption",
         with_response_started(make_context(outcome::answered, 400, true, 2, 3),
                               true),
         action::retry},
        {"status 500, stream not resumable",
         with_response_started(
             make_context(outcome::answered, 500, false, 1, 2), false),
         action::abort_response},
    }));
    CAPTURE(name);
    CHECK(decide_action(context) == expected);
}
