#include "entry/refusal.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/hash.hpp"
#include "platform/message_codec.hpp"

namespace bronzehub::entry {
namespace {

using seconds = std::chrono::duration<double>;

constexpr int service_unavailable = 503;
// Largest relative deviation of Retry-After from its base value.
constexpr double retry_jitter = 0.25;
constexpr std::uint64_t jitter_steps = 1000;

}  // namespace

refusal make_refusal(std::string_view request_id, std::string_view cause,
                     base::duration retry_after) {
    const double fraction =
        static_cast<double>(base::stable_hash(request_id) % jitter_steps) /
        static_cast<double>(jitter_steps);
    const seconds jittered =
        seconds(retry_after) * (1 - retry_jitter + 2 * retry_jitter * fraction);
    refusal result;
    result.status = service_unavailable;
    result.headers = platform_wire::refusal_headers(request_id);
    result.headers.push_back({"Content-Type", "application/json"});
    result.headers.push_back(
        {"Retry-After", absl::StrFormat("%.3f", jittered.count())});
    result.body = absl::StrCat("{\"error\":\"", std::string(cause), "\"}");
    result.retry_after =
        std::chrono::duration_cast<std::chrono::milliseconds>(jittered);
    return result;
}

base::duration retry_after_at_least(base::duration delay) {
    return std::chrono::duration_cast<base::duration>(seconds(delay) /
                                                      (1 - retry_jitter));
}

}  // namespace bronzehub::entry
