#include "claims/claim_row.hpp"

#include "absl/strings/escaping.h"
#include "base/hash.hpp"

namespace bronzehub::claims {

std::string claim_row_key(base::organisation_id organisation,
                          base::service_id service,
                          std::string_view idempotency_key) {
    return std::to_string(organisation.value()) + "/" +
           std::to_string(service.value()) + "/" +
           base::sha256_hex(idempotency_key);
}

std::string write_claim_row(const claim_row& row) {
    return base::write_document(row);
}

absl::StatusOr<claim_row> read_claim_row(std::string_view text) {
    return base::read_document<claim_row>(text);
}

std::string encode_body(std::string_view body) {
    return absl::Base64Escape(absl::string_view(body.data(), body.size()));
}

std::string decode_body(std::string_view text) {
    std::string body;
    absl::Base64Unescape(absl::string_view(text.data(), text.size()), &body);
    return body;
}

}  // namespace bronzehub::claims
