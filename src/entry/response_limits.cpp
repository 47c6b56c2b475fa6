#include "entry/response_limits.hpp"

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {

std::size_t max_body_bytes(const response_outline& response) {
    return response.is_rejection ? max_rejection_bytes : max_response_bytes;
}

std::string head_error(const response_outline& response) {
    if (response.is_stream) {
        return "";
    }
    if (!response.has_signature && !response.is_rejection) {
        return "response without a signature";
    }
    if (response.resumes && !response.is_rejection) {
        return "no stream in answer to a resumption";
    }
    const std::size_t limit = max_body_bytes(response);
    return response.body_bytes.value_or(0) > limit ? body_limit_error(limit)
                                                   : "";
}

std::string body_limit_error(std::size_t limit) {
    return absl::StrCat("response body over ", limit, " bytes");
}

std::string response_overhead::limit_error() const {
    if (skipped_ > max_skipped) {
        return absl::StrCat("over ", max_skipped, " responses skipped");
    }
    // As much as another request's response may have.
    if (skipped_body_ > max_response_bytes) {
        return absl::StrCat("over ", max_response_bytes,
                            " bytes of skipped responses");
    }
    const std::uint64_t content = body_ + skipped_body_;
    if (received_ - content > max_bytes + bytes_per_body_byte * content) {
        return absl::StrCat("over ", max_bytes,
                            " bytes besides the response body");
    }
    return "";
}

}  // namespace bronzehub::entry
