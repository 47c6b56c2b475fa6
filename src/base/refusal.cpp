#include "base/refusal.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace bronzehub::base {
namespace {

struct code_entry {
    refusal_code code;
    std::string_view name;
    int status;
};

constexpr std::array code_table{
    code_entry{refusal_code::bad_request, "bad_request", 400},
    code_entry{refusal_code::unauthenticated, "unauthenticated", 401},
    code_entry{refusal_code::forbidden, "forbidden", 403},
    code_entry{refusal_code::unknown_service, "unknown_service", 404},
    code_entry{refusal_code::method_not_allowed, "method_not_allowed", 405},
    code_entry{refusal_code::request_too_large, "request_too_large", 413},
    code_entry{refusal_code::request_timeout, "request_timeout", 408},
    code_entry{refusal_code::backlog_full, "backlog_full", 429},
    code_entry{refusal_code::deadline_unreachable, "deadline_unreachable", 503},
    code_entry{refusal_code::deadline_exceeded, "deadline_exceeded", 504},
    code_entry{refusal_code::no_backend_server, "no_backend_server", 503},
    code_entry{refusal_code::draining, "draining", 503},
    code_entry{refusal_code::configuration_missing, "configuration_missing",
               503},
    code_entry{refusal_code::claim_unavailable, "claim_unavailable", 503},
    code_entry{refusal_code::claim_in_progress, "claim_in_progress", 409},
    code_entry{refusal_code::claim_mismatch, "claim_mismatch", 422},
    code_entry{refusal_code::claim_outcome_unknown, "claim_outcome_unknown",
               409},
    code_entry{refusal_code::backend_failed, "backend_failed", 502},
    code_entry{refusal_code::backend_answer_too_large,
               "backend_answer_too_large", 502},
    code_entry{refusal_code::cancelled, "cancelled", 499},
    code_entry{refusal_code::internal, "internal", 500},
};

constexpr auto codes = [] {
    std::array<refusal_code, code_table.size()> result{};
    std::ranges::transform(code_table, result.begin(), &code_entry::code);
    return result;
}();

const code_entry& find_entry(refusal_code code) {
    const auto found = std::ranges::find(code_table, code, &code_entry::code);
    if (found == code_table.end()) {
        std::abort();  // `code_table` must have an entry for every code.
    }
    return *found;
}

}  // namespace

std::string_view to_string(call_outcome outcome) {
    switch (outcome) {
        case call_outcome::not_run:
            return "not-run";
        case call_outcome::run:
            return "run";
        case call_outcome::unknown:
            return "unknown";
    }
    std::abort();
}

std::string_view to_string(refusal_code code) {
    return find_entry(code).name;
}

int http_status(refusal_code code) {
    return find_entry(code).status;
}

std::span<const refusal_code> all_refusal_codes() {
    return codes;
}

}  // namespace bronzehub::base
