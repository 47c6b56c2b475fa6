#include "peer/dialler.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bronzehub::peer {

absl::StatusOr<asio::ip::tcp::endpoint> parse_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    std::string_view ip = text.substr(0, colon);
    if (ip.starts_with('[') && ip.ends_with(']')) {
        ip = ip.substr(1, ip.size() - 2);
    }
    asio::error_code error;
    const auto address = asio::ip::make_address(std::string(ip), error);
    std::uint16_t port = 0;
    bool valid = !error && colon != std::string_view::npos;
    if (valid) {
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
        valid = parsed.ec == std::errc() && parsed.ptr == end && port != 0;
    }
    if (!valid) {
        return absl::InvalidArgumentError(absl::StrCat("peer address: found \"",
                                                       std::string(text),
                                                       "\", expected IP:port"));
    }
    return asio::ip::tcp::endpoint(address, port);
}

std::chrono::milliseconds retry_delay(const retry_delays& delays,
                                      std::uint32_t failures, double jitter) {
    auto delay = delays.first;
    for (std::uint32_t count = 1; count < failures && delay < delays.last;
         ++count) {
        delay *= 2;
    }
    delay = std::min(delay, delays.last);
    const auto count = static_cast<double>(delay.count());
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(count * (1 - jitter / 2)));
}

dialler::dialler(asio::io_context& context, retry_delays delays)
    : timer_(context), delays_(delays), random_(std::random_device{}()) {}

bool dialler::begin() {
    return !std::exchange(busy_, true);
}

void dialler::succeeded() {
    failures_ = 0;
    busy_ = false;
}

void dialler::failed(std::function<void()> again) {
    ++failures_;
    const double jitter = std::uniform_real_distribution<double>()(random_);
    timer_.expires_after(retry_delay(delays_, failures_, jitter));
    timer_.async_wait([weak = weak_from_this(), again = std::move(again)](
                          const asio::error_code& error) {
        const std::shared_ptr<dialler> self = weak.lock();
        if (!error && self) {
            self->busy_ = false;
            again();
        }
    });
}

}  // namespace bronzehub::peer
