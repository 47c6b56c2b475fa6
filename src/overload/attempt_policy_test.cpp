#include "overload/attempt_policy.hpp"

#include <catch2/catch.hpp>

using bronzehub::overload::attempt_action;
using bronzehub::overload::attempt_context;
using bronzehub::overload::attempt_outcome;
using bronzehub::overload::decide_action;

namespace {

struct row {
    const char* what;
    attempt_context facts;
    attempt_action expected;
};

attempt_context facts(attempt_outcome end, int status, bool repeatable,
                      std::uint32_t sent, std::uint32_t most) {
    attempt_context result;
    result.outcome = end;
    result.status = status;
    result.idempotent = repeatable;
    result.attempts_sent = sent;
    result.max_attempts = most;
    return result;
}

attempt_context started(attempt_context base, bool resumable) {
    base.response_started = true;
    base.resumable = resumable;
    return base;
}

attempt_context behind_a_run(attempt_context base) {
    base.earlier_attempt_may_have_run = true;
    return base;
}

attempt_context late(attempt_context base) {
    base.within_deadline = false;
    return base;
}

}  // namespace

// Guards against a request that runs twice, a refusal that is not true, and a
// response that is complete and not delivered.
TEST_CASE("the end of an attempt decides what follows") {
    using end = attempt_outcome;
    using act = attempt_action;
    const auto [what, given, expected] = GENERATE(values<row>({
        {"success", facts(end::answered, 200, true, 1, 2), act::deliver},
        {"success after the last attempt",
         facts(end::answered, 200, false, 1, 1), act::deliver},
        {"whole stream after the last attempt",
         started(facts(end::stream_ended, 200, false, 1, 1), false),
         act::deliver},
        {"whole stream without an event",
         facts(end::stream_ended, 200, true, 1, 2), act::deliver},
        {"whole stream after a resumption, attempts left",
         started(facts(end::stream_ended, 200, true, 2, 3), true),
         act::deliver},
        {"whole stream, late",
         late(started(facts(end::stream_ended, 200, true, 1, 2), true)),
         act::deliver},
        {"own error, not repeatable", facts(end::answered, 500, false, 1, 2),
         act::deliver},
        {"own error, repeatable", facts(end::answered, 500, true, 1, 2),
         act::retry},
        {"own error, no attempt left", facts(end::answered, 500, true, 2, 2),
         act::deliver},
        {"own deadline", facts(end::answered, 504, true, 1, 2), act::deliver},
        {"own refusal", facts(end::answered, 503, false, 1, 1), act::deliver},
        {"own refusal behind an attempt that may have run",
         behind_a_run(facts(end::answered, 503, true, 2, 2)),
         act::respond_bad_gateway},
        {"own limit behind an attempt that may have run",
         behind_a_run(facts(end::answered, 429, true, 2, 2)),
         act::respond_bad_gateway},
        {"own error behind an attempt that may have run",
         behind_a_run(facts(end::answered, 500, true, 2, 2)), act::deliver},
        {"unreachable, not repeatable", facts(end::not_sent, 0, false, 0, 1),
         act::reroute},
        {"unreachable, late", late(facts(end::not_sent, 0, false, 0, 1)),
         act::respond_unavailable},
        {"rejected", facts(end::rejected, 503, false, 1, 2), act::retry},
        {"rejected, no attempt left", facts(end::rejected, 503, false, 1, 1),
         act::respond_unavailable},
        {"broken, not repeatable", facts(end::broken, 0, false, 1, 2),
         act::respond_bad_gateway},
        {"broken, repeatable", facts(end::broken, 0, true, 1, 2), act::retry},
        {"broken, repeatable, late", late(facts(end::broken, 0, true, 1, 2)),
         act::respond_bad_gateway},
        {"broken stream, resumable",
         started(facts(end::broken, 200, true, 1, 2), true), act::retry},
        {"broken stream, not resumable",
         started(facts(end::broken, 200, false, 1, 2), false),
         act::abort_response},
        {"rejected resumption",
         started(facts(end::rejected, 503, true, 2, 2), true),
         act::abort_response},
    }));
    CAPTURE(what);
    CHECK(decide_action(given) == expected);
}

// Guards against a stream that was cut and looks complete, because the server
// that was to go on with it answered with something else.
TEST_CASE("an answer that is no stream does not complete a begun stream") {
    using end = attempt_outcome;
    using act = attempt_action;
    const auto [what, given, expected] = GENERATE(values<row>({
        {"error to a resumption, attempts left",
         started(facts(end::answered, 500, true, 2, 3), true), act::retry},
        {"error to a resumption, no attempt left",
         started(facts(end::answered, 500, true, 2, 2), true),
         act::abort_response},
        {"error to a resumption, late",
         late(started(facts(end::answered, 500, true, 2, 3), true)),
         act::abort_response},
        {"refusal that may have run, attempts left",
         started(facts(end::answered, 503, true, 2, 3), true), act::retry},
        {"own deadline at a resumption",
         started(facts(end::answered, 504, true, 2, 3), true),
         act::abort_response},
        {"error of the request at a resumption",
         started(facts(end::answered, 400, true, 2, 3), true), act::retry},
        {"error, the stream can't go on",
         started(facts(end::answered, 500, false, 1, 2), false),
         act::abort_response},
    }));
    CAPTURE(what);
    CHECK(decide_action(given) == expected);
}
