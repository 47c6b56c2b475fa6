// A server on loopback that answers one request by bytes without end: `head`
// once, then `piece` again and again until its peer closes the connection.
// Stops at `max_bytes`, so that a peer that reads on fails a test instead of
// hanging it.
#ifndef BRONZEHUB_TESTS_SUPPORT_ENDLESS_SENDER_HPP
#define BRONZEHUB_TESTS_SUPPORT_ENDLESS_SENDER_HPP

#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>

#include "support/raw_socket.hpp"

namespace bronzehub::test {

struct endless_response {
    std::string name;
    std::string head;
    std::string piece;
};

class endless_sender {
public:
    // More than the socket buffers of both sides and every limit take.
    static constexpr std::size_t default_max_bytes = 96UL << 20U;

    explicit endless_sender(endless_response response,
                            std::size_t max_bytes = default_max_bytes)
        : response_(std::move(response)),
          max_bytes_(max_bytes),
          thread_([this] { run(); }) {}
    endless_sender(const endless_sender&) = delete;
    endless_sender& operator=(const endless_sender&) = delete;
    ~endless_sender() {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    std::uint16_t port() const { return listener_.port(); }

    // Waits for the end. False when the peer took all `max_bytes` or stopped
    // to read without closing.
    bool was_closed_early() {
        thread_.join();
        return closed_early_;
    }

    // Only after `was_closed_early`.
    std::size_t sent_bytes() const { return sent_bytes_; }

private:
    void run() {
        raw_socket peer = listener_.accept();
        peer.read_until("\r\n\r\n");
        if (!response_.head.empty()) {
            peer.send(response_.head);
        }
        constexpr std::size_t block_bytes = 64UL << 10U;
        std::string block;
        while (block.size() < block_bytes) {
            block += response_.piece;
        }
        while (sent_bytes_ < max_bytes_ && peer.send(block)) {
            sent_bytes_ += block.size();
        }
        // A short count hides the cause; the next call reports it.
        closed_early_ = sent_bytes_ < max_bytes_ && !peer.send(block) &&
                        (errno == EPIPE || errno == ECONNRESET);
    }

    const endless_response response_;
    const std::size_t max_bytes_;
    raw_listener listener_;
    bool closed_early_ = false;
    std::size_t sent_bytes_ = 0;
    std::thread thread_;  // Last: it uses the other members.
};

}  // namespace bronzehub::test

#endif
