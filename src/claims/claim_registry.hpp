// Idempotency claims: a call with an idempotency key starts at most once.
//
// A claim is a row that is created by a conditional write before the call is
// sent, and completed with the response afterwards. The row survives every
// daemon; whoever finds it decides from its state what to answer.
//
// Order of use for one call:
//   claim(...)  -> decision `held`
//   mark_sent(id)                  before any byte is handed to the client
//   finish(id, response)           or finish_unknown(id)
// or, when the call is not sent after all: abandon(id).
//
// Use it for calls that carry an idempotency key. Calls without one need no
// claim.
#ifndef BRONZEHUB_CLAIMS_CLAIM_REGISTRY_HPP
#define BRONZEHUB_CLAIMS_CLAIM_REGISTRY_HPP

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"
#include "base/timer_queue.hpp"
#include "claims/claim_row.hpp"
#include "platform/platform.hpp"

namespace bronzehub::claims {

enum class claim_id : std::uint64_t {};

struct claim_request {
    base::organisation_id organisation;
    base::service_id service;
    std::string idempotency_key;
    std::string body_digest;  // SHA-256 of method, path and body.
};

enum class claim_verdict {
    held,             // The caller of `claim` may run the call.
    done,             // It ran; `response` is the recorded one.
    in_progress,      // Another attempt is running.
    outcome_unknown,  // An attempt may have run and nobody knows its outcome.
    mismatch,         // The key was used with another body.
    unavailable,      // The claim could not be written; nothing was run.
};

struct claim_decision {
    claim_verdict verdict = claim_verdict::unavailable;
    // With `done`: empty when the body could not be read at present.
    std::optional<recorded_response> response{};
};

// Counts for metrics.
struct claim_counters {
    std::uint64_t transactions = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t retries = 0;
    // Responses that could not be recorded; the key's outcome is unknown.
    std::uint64_t unrecorded = 0;
    std::uint64_t refused_full = 0;
};

struct claim_limits {
    // Claims that arrive within this time share one transaction.
    std::chrono::milliseconds batch_window{5};
    std::size_t batch_size = 64;
    // Attempts to create a row after lost answers.
    unsigned create_attempts = 3;
    std::size_t entries = 10000;
    // Responses waiting to be recorded.
    std::size_t response_bytes = 8u << 20;
    std::size_t row_response_bytes = 16u << 10;
    std::chrono::milliseconds first_retry{200};
    std::chrono::milliseconds longest_retry{5000};
};

// Not thread-safe; belongs to the decision thread. Outlives the answers of its
// platform hooks and the timers that it schedules.
class claim_registry {
public:
    using decision_callback = std::function<void(claim_decision)>;

    struct hooks {
        platform::table_service tables;
        platform::object_store objects;
        // Whether this incarnation of the host is known to have ended.
        std::function<bool(const base::host_id& host,
                           std::uint64_t incarnation)>
            owner_is_dead;
    };

    claim_registry(base::clock time, base::timer_queue& timers,
                   base::host_id host, std::uint64_t incarnation, hooks outside,
                   claim_limits limits);

    // Decides whether a call may run. `decide` is called once unless the claim
    // is abandoned first; possibly before this function returns.
    claim_id claim(const claim_request& request, decision_callback decide);

    // The call is about to be handed to the backend client. False when the
    // claim is not held: the call must not be sent.
    [[nodiscard]] bool mark_sent(claim_id id);

    // No byte of the call left this host, so the claim is as it was before
    // `mark_sent`.
    void mark_not_sent(claim_id id);

    // Records the outcome. Retried until the platform accepts it.
    void finish(claim_id id, recorded_response response);
    void finish_unknown(claim_id id);

    // Gives the key back. After `mark_sent` the outcome is recorded as unknown
    // instead, because the call may have run.
    void abandon(claim_id id);

    std::size_t size() const { return entries_.size(); }
    const claim_counters& counters() const { return counters_; }

private:
    enum class phase { queued, creating, checking, held, sent, settling };
    enum class goal { none, record, mark_unknown, remove };

    struct entry {
        std::string row_key;
        claim_row row;
        phase step = phase::queued;
        goal wanted = goal::none;
        decision_callback decide;
        recorded_response response{};
        // Version of our row; empty when it must be read first.
        std::optional<std::uint64_t> version{};
        unsigned creates = 0;
        // A create was sent and its answer was lost.
        bool may_exist = false;
        unsigned absences = 0;
        std::chrono::milliseconds retry_delay{0};
        bool object_stored = false;
    };
    using read_result = absl::StatusOr<std::optional<platform::row>>;
    using write_result = absl::StatusOr<platform::transaction_result>;

    entry* find(claim_id id);
    void erase(claim_id id);
    void decide(claim_id id, claim_decision decision);
    void decide_and_erase(claim_id id, claim_decision decision);
    static claim_decision decide_from_local(const entry& existing,
                                            const claim_request& request);

    // Creating.
    void enqueue(claim_id id);
    void flush();
    void create(std::vector<claim_id> ids);
    void on_created(const std::vector<claim_id>& ids,
                    const write_result& result);
    void on_conflicts(const std::vector<claim_id>& ids,
                      std::span<const std::size_t> conflicts);
    void on_create_lost(claim_id id);
    void on_held(claim_id id, std::uint64_t version);
    void give_up_create(claim_id id);

    // Reading an existing row.
    void check(claim_id id);
    void on_checked(claim_id id, const read_result& result);
    void decide_existing(claim_id id, const platform::row& found);
    void decide_done(claim_id id, const stored_response& stored);
    void mark_dead(claim_id id, claim_row row, std::uint64_t version);
    bool is_orphan(const claim_row& row) const;

    // Settling: recording the outcome or deleting the row.
    void settle(claim_id id, goal wanted);
    void continue_settling(claim_id id);
    void store_object(claim_id id);
    void reload(claim_id id);
    void on_reloaded(claim_id id, const read_result& result);
    void on_absent(claim_id id);
    void write_goal(claim_id id);
    void on_settled(claim_id id, const write_result& result);
    void retry_later(claim_id id);
    bool needs_object(const entry& item) const;
    claim_row final_row(const entry& item) const;

    base::clock time_;
    base::timer_queue& timers_;
    base::host_id host_;
    std::uint64_t incarnation_;
    hooks outside_;
    claim_limits limits_;
    claim_counters counters_;
    std::uint64_t next_id_ = 1;
    std::map<claim_id, entry> entries_;
    std::unordered_map<std::string, claim_id> by_key_;
    std::vector<claim_id> queue_;
    bool flush_scheduled_ = false;
    std::size_t response_bytes_ = 0;
};

}  // namespace bronzehub::claims

#endif
