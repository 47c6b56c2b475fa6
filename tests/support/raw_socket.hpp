// Plain blocking TCP sockets for tests that must control every byte and every
// close. Reads give up after `patience`, so that a fault fails a test instead
// of hanging it.
#ifndef BRONZEHUB_TESTS_SUPPORT_RAW_SOCKET_HPP
#define BRONZEHUB_TESTS_SUPPORT_RAW_SOCKET_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <future>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace bronzehub::test {

constexpr auto patience = std::chrono::seconds(20);

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// Waits for a result that another thread sets.
template <class Value>
Value wait_for(std::promise<Value>& promise) {
    auto result = promise.get_future();
    if (result.wait_for(patience) != std::future_status::ready) {
        throw std::runtime_error("gave up waiting");
    }
    return result.get();
}

class raw_socket {
public:
    explicit raw_socket(int descriptor) : descriptor_(descriptor) {
        const timeval limit{std::chrono::seconds(patience).count(), 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    }
    raw_socket(raw_socket&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1)),
          unread_(std::move(other.unread_)) {}
    raw_socket& operator=(raw_socket&&) = delete;
    ~raw_socket() { close(); }

    static raw_socket create() {
        return raw_socket(::socket(AF_INET, SOCK_STREAM, 0));
    }

    static raw_socket connect(std::uint16_t port) {
        raw_socket result = create();
        result.connect_to(port);
        return result;
    }

    void connect_to(std::uint16_t port) const {
        const sockaddr_in address = loopback(port);
        if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)) != 0) {
            throw std::runtime_error("connection refused");
        }
    }

    // False when the peer has not taken all bytes; `errno` tells why.
    bool send(std::string_view bytes) const {
        return ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
    }

    // Reads up to and including `marker`; less at the end of the stream.
    std::string read_until(std::string_view marker) {
        std::size_t found = unread_.find(marker);
        while (found == std::string::npos && receive()) {
            found = unread_.find(marker);
        }
        const std::size_t size =
            found == std::string::npos ? unread_.size() : found + marker.size();
        std::string result = unread_.substr(0, size);
        unread_.erase(0, size);
        return result;
    }

    // Reads to the end of the stream. Throws when it does not come.
    std::string read_all() {
        while (receive()) {
        }
        return std::exchange(unread_, {});
    }

    void shutdown_send() const { ::shutdown(descriptor_, SHUT_WR); }

    void close() {
        if (descriptor_ >= 0) {
            ::close(std::exchange(descriptor_, -1));
        }
    }

private:
    bool receive() {
        std::array<char, 65536> buffer;
        const ssize_t size =
            ::recv(descriptor_, buffer.data(), buffer.size(), 0);
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            throw std::runtime_error("the peer neither sent nor closed");
        }
        if (size > 0) {
            unread_.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return size > 0;
    }

    int descriptor_;
    std::string unread_;
};

class raw_listener {
public:
    explicit raw_listener(int backlog = 16)
        : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof(address);
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        if (::bind(descriptor_, generic, size) != 0 ||
            ::listen(descriptor_, backlog) != 0) {
            throw std::runtime_error("no loopback port");
        }
        ::getsockname(descriptor_, generic, &size);
        port_ = ntohs(address.sin_port);
    }
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;
    ~raw_listener() { ::close(descriptor_); }

    std::uint16_t port() const { return port_; }

    raw_socket accept() const {
        return raw_socket(::accept(descriptor_, nullptr, nullptr));
    }

private:
    int descriptor_;
    std::uint16_t port_ = 0;
};

}  // namespace bronzehub::test

#endif
