// The row that represents one idempotency key in the platform's table.
#ifndef BRONZEHUB_CLAIMS_CLAIM_ROW_HPP
#define BRONZEHUB_CLAIMS_CLAIM_ROW_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "base/json_fields.hpp"
#include "base/strong_id.hpp"

namespace bronzehub::claims {

inline constexpr const char* claim_table = "claim";

enum class claim_state { in_progress, done, unknown };

// The response that a repeated call receives.
struct recorded_response {
    std::uint32_t status = 0;
    std::string content_type{};
    std::string body{};

    friend bool operator==(const recorded_response&,
                           const recorded_response&) = default;
};

// A response as the row holds it.
struct stored_response {
    std::uint32_t status = 0;
    std::string content_type;
    // Base64, because JSON carries no arbitrary bytes. Empty when the body is
    // in the object store.
    std::string body;
    std::string object;  // Key of the object with the body, or empty.
};

struct claim_row {
    // Unique for each attempt to run a call; tells a writer whose answer was
    // lost that the row is its own.
    std::string attempt;
    base::host_id host;
    std::uint64_t incarnation = 0;
    std::string body_digest;
    claim_state state = claim_state::in_progress;
    std::optional<stored_response> response{};
};

// The row's key: organisation, service and the digest of the caller's key, so
// that organisations cannot meet in one row.
std::string claim_row_key(base::organisation_id organisation,
                          base::service_id service,
                          std::string_view idempotency_key);

std::string write_claim_row(const claim_row& row);
absl::StatusOr<claim_row> read_claim_row(std::string_view text);

// Body as base64 text and back.
std::string encode_body(std::string_view body);
std::string decode_body(std::string_view text);

}  // namespace bronzehub::claims

namespace bronzehub::base {

template <>
struct enum_names<claims::claim_state> {
    using state = claims::claim_state;
    static constexpr std::array<enum_entry<state>, 3> all{
        {{state::in_progress, "in_progress"},
         {state::done, "done"},
         {state::unknown, "unknown"}}};
};

template <>
struct json_schema<claims::stored_response> {
    static void fields(auto& form, auto& value) {
        form.required("status", value.status);
        form.required("content_type", value.content_type);
        form.optional("body", value.body);
        form.optional("object", value.object);
    }
};

template <>
struct json_schema<claims::claim_row> {
    static void fields(auto& form, auto& value) {
        form.required("attempt", value.attempt);
        form.required("host", value.host);
        form.required("incarnation", value.incarnation);
        form.required("body_digest", value.body_digest);
        form.required("state", value.state);
        form.optional("response", value.response);
    }
};

}  // namespace bronzehub::base

#endif
