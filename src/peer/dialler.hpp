// When to dial an address again after an attempt failed.
#ifndef BRONZEHUB_PEER_DIALLER_HPP
#define BRONZEHUB_PEER_DIALLER_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace bronzehub::peer {

// Parses "IP:port", "[IPv6]:port" included. kInvalidArgument otherwise.
absl::StatusOr<asio::ip::tcp::endpoint> parse_address(std::string_view text);

struct retry_delays {
    std::chrono::milliseconds first;
    std::chrono::milliseconds last;
};

// The delay after `failures` attempts in a row failed: doubled each time up to
// the last delay, less `jitter` (0 to 1) times half of it, so that hosts that
// lost the same peer do not dial it in step.
std::chrono::milliseconds retry_delay(const retry_delays& delays,
                                      std::uint32_t failures, double jitter);

// Allows one attempt at a time. Runs on the io_context's thread. Held by a
// shared pointer; nothing is called after the last one is gone.
class dialler : public std::enable_shared_from_this<dialler> {
public:
    dialler(asio::io_context& context, retry_delays delays);

    // Whether an attempt may begin now; if so, it has begun.
    bool begin();
    void succeeded();
    // Ends the attempt; calls `again` once the next one may begin.
    void failed(std::function<void()> again);

private:
    asio::steady_timer timer_;
    retry_delays delays_;
    std::minstd_rand random_;
    std::uint32_t failures_ = 0;
    bool busy_ = false;  // Dialling, or waiting for the delay.
};

}  // namespace bronzehub::peer

#endif
