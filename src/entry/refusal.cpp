#include "entry/refusal.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/hash.hpp"
#include "platform/message_codec.hpp"

namespace bronzehub::entry {
namespace {

using seconds = std::chrono::duration<double>;

constexpr int unavailable = 503;
// Spread of Retry-After around its value, to either side.
constexpr double retry_spread = 0.25;
constexpr std::uint64_t spread_steps = 1000;

}  // namespace

refusal make_refusal(std::string_view request_id, std::string_view cause,
                     base::duration retry_after) {
    const double draw =
        static_cast<double>(base::stable_hash(request_id) % spread_steps) /
        static_cast<double>(spread_steps);
    const seconds wait =
        seconds(retry_after) * (1 - retry_spread + 2 * retry_spread * draw);
    refusal result;
    result.status = unavailable;
    result.headers = platform_wire::refusal_headers(request_id);
    result.headers.push_back({"Content-Type", "application/json"});
    result.headers.push_back(
        {"Retry-After", absl::StrFormat("%.3f", wait.count())});
    result.body = absl::StrCat("{\"error\":\"", std::string(cause), "\"}");
    result.retry_after =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    return result;
}

}  // namespace bronzehub::entry
