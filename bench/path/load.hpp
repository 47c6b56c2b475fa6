// Load over keep-alive HTTP/1.1 connections to one loopback address, from one
// thread, bounded in count and time.
#ifndef BRONZEHUB_BENCH_PATH_LOAD_HPP
#define BRONZEHUB_BENCH_PATH_LOAD_HPP

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace bronzehub::bench {

struct load_target {
    asio::ip::tcp::endpoint endpoint;
    // The complete text of each request.
    std::string request;
};

struct load_plan {
    std::size_t connections = 1;
    std::chrono::milliseconds time{};
    // Requests per second at fixed times; 0 sends the next request of a
    // connection as soon as its response arrived.
    double rate = 0;
};

struct load_result {
    // From the time at which a request was due, so that a stalled server is
    // charged for the requests that it kept waiting. Milliseconds, sorted.
    std::vector<double> latencies;
    // Requests without a whole 2xx response.
    std::size_t failures = 0;
    double seconds = 0;

    double completed_per_second() const;
    // Nearest rank; 0 without a latency.
    double quantile(double fraction) const;
};

// Throws asio::system_error when the target refuses connections.
load_result run_load(const load_target& target, const load_plan& plan);

}  // namespace bronzehub::bench

#endif
