#include "daemon/claim_link.hpp"

#include <utility>

#include "base/hash.hpp"

namespace bronzehub::daemon {
namespace {

using base::call_outcome;
using base::refusal;
using base::refusal_code;
using claims::claim_verdict;

constexpr std::chrono::seconds retry_soon{1};

std::string digest_of(const calls::routed_call& call) {
    return base::sha256_hex(call.method + "\n" + call.path + "\n" + call.body);
}

calls::claim_decision replay(
    const std::optional<claims::recorded_response>& response) {
    if (!response) {
        return refusal{refusal_code::claim_unavailable, call_outcome::run,
                       "the call ran; its recorded response cannot be read at "
                       "present",
                       retry_soon};
    }
    return calls::recorded_response{static_cast<int>(response->status),
                                    {{"Content-Type", response->content_type}},
                                    response->body};
}

}  // namespace

calls::claim_decision decision_of(const claims::claim_decision& decision) {
    switch (decision.verdict) {
        case claim_verdict::held:
            return calls::claim_granted{};
        case claim_verdict::done:
            return replay(decision.response);
        case claim_verdict::in_progress:
            // This attempt did not run, but the call that the key stands for
            // may be running now.
            return refusal{refusal_code::claim_in_progress,
                           call_outcome::unknown,
                           "another attempt with this idempotency key is in "
                           "progress",
                           retry_soon};
        case claim_verdict::outcome_unknown:
            return refusal{refusal_code::claim_outcome_unknown,
                           call_outcome::unknown,
                           "an earlier attempt with this idempotency key may "
                           "have run",
                           std::nullopt};
        case claim_verdict::mismatch:
            return refusal{refusal_code::claim_mismatch, call_outcome::not_run,
                           "this idempotency key was used for another request",
                           std::nullopt};
        case claim_verdict::unavailable:
            break;
    }
    return refusal{refusal_code::claim_unavailable, call_outcome::not_run,
                   "the idempotency key could not be claimed", retry_soon};
}

claim_link::claim_link(claims::claim_registry& registry,
                       std::function<void(std::function<void()>)> post)
    : registry_(registry), post_(std::move(post)) {}

calls::claim_hooks claim_link::hooks() {
    return {
        .acquire = [this](calls::call_id id, const calls::routed_call& call,
                          decided done) { acquire(id, call, std::move(done)); },
        .mark_sent =
            [this](calls::call_id id) {
                const auto found = claims_.find(id);
                return found != claims_.end() &&
                       registry_.mark_sent(found->second);
            },
        .mark_not_sent =
            [this](calls::call_id id) {
                const auto found = claims_.find(id);
                if (found != claims_.end()) {
                    registry_.mark_not_sent(found->second);
                }
            },
        .complete =
            [this](calls::call_id id, calls::recorded_response response) {
                complete(id, std::move(response));
            },
        .mark_unknown =
            [this](calls::call_id id) {
                release(id, [this](claims::claim_id claim) {
                    registry_.finish_unknown(claim);
                });
            },
        .abandon =
            [this](calls::call_id id) {
                release(id, [this](claims::claim_id claim) {
                    registry_.abandon(claim);
                });
            },
    };
}

void claim_link::acquire(calls::call_id id, const calls::routed_call& call,
                         decided done) {
    claims::claim_request request;
    request.organisation = call.organisation;
    request.service = call.service;
    request.idempotency_key = *call.idempotency_key;
    request.body_digest = digest_of(call);
    // The decision may come before `claim` returns its id, so it is handled
    // later.
    const claims::claim_id claim =
        registry_.claim(request, [this, id, done = std::move(done)](
                                     const claims::claim_decision& decision) {
            post_([this, id, done, decision] {
                if (decision.verdict != claim_verdict::held) {
                    claims_.erase(id);
                }
                done(decision_of(decision));
            });
        });
    claims_.emplace(id, claim);
}

void claim_link::complete(calls::call_id id,
                          calls::recorded_response response) {
    claims::recorded_response recorded;
    recorded.status = static_cast<std::uint32_t>(response.status);
    recorded.content_type = std::string(
        base::find_header(response.headers, "Content-Type").value_or(""));
    recorded.body = std::move(response.body);
    release(id, [&](claims::claim_id claim) {
        registry_.finish(claim, std::move(recorded));
    });
}

void claim_link::release(calls::call_id id,
                         const std::function<void(claims::claim_id)>& action) {
    const auto found = claims_.find(id);
    if (found == claims_.end()) {
        return;
    }
    const claims::claim_id claim = found->second;
    claims_.erase(found);
    action(claim);
}

}  // namespace bronzehub::daemon
