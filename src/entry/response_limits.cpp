#include "entry/response_limits.hpp"

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {

std::size_t max_body_bytes(const response_properties& response) {
    return response.is_rejection ? max_rejection_bytes : max_response_bytes;
}

std::string head_error(const response_properties& response) {
    if (response.is_stream) {
        return "";
    }
    if (!response.has_signature && !response.is_rejection) {
        return "response without a signature";
    }
    if (response.is_resumption && !response.is_rejection) {
        return "no stream in answer to a resumption";
    }
    const std::size_t limit = max_body_bytes(response);
    return response.content_length.value_or(0) > limit ? body_limit_error(limit)
                                                       : "";
}

std::string body_limit_error(std::size_t limit) {
    return absl::StrCat("response body over ", limit, " bytes");
}

std::string response_overhead::limit_error() const {
    if (skipped_responses_ > max_skipped_responses) {
        return absl::StrCat("over ", max_skipped_responses,
                            " responses skipped");
    }
    // A skipped response to another request may be as large as any response.
    if (skipped_body_bytes_ > max_response_bytes) {
        return absl::StrCat("over ", max_response_bytes,
                            " bytes of skipped responses");
    }
    const std::uint64_t content_bytes = body_bytes_ + skipped_body_bytes_;
    if (received_bytes_ - content_bytes >
        max_overhead_bytes + max_framing_per_body_byte * content_bytes) {
        return absl::StrCat("over ", max_overhead_bytes,
                            " bytes besides the response body");
    }
    return "";
}

}  // namespace bronzehub::entry
