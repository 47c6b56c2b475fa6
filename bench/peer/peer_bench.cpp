// Measures the transport between daemons over loopback, on one thread.
#include <unistd.h>

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "peer/transport.hpp"

namespace bronzehub::peer {
namespace {

using clock_type = std::chrono::steady_clock;

double cpu_seconds() {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void print(const std::string& figure, double value, const std::string& unit) {
    std::cout << R"({"figure": ")" << figure << R"(", "value": )" << value
              << R"(, "unit": ")" << unit << "\"}\n";
}

// Two connected transports; one sends, the other counts.
class pair {
public:
    pair()
        : sender_(context_, {.host = "a", .shared_key = "key"}, {}),
          receiver_(context_, {.host = "b", .shared_key = "key"},
                    {.on_message = [this](auto&&) { ++received_; }}) {
        const absl::Status status = receiver_.listen("127.0.0.1", 0);
        if (!status.ok()) {
            std::cerr << status.message() << "\n";
            std::exit(1);
        }
        sender_.set_peer("b", "127.0.0.1:" + std::to_string(receiver_.port()));
    }

    // Sends one message and runs until it has arrived.
    void exchange(const protocol::body& content) {
        const std::uint64_t before = received_;
        sender_.send("b", {{"a", 1, ++sequence_}, content});
        context_.restart();
        while (received_ == before) {
            context_.run_one();
        }
    }

    const counters& counts() const { return sender_.counts(); }

private:
    asio::io_context context_;
    transport sender_;
    transport receiver_;
    std::uint64_t received_ = 0;
    std::uint64_t sequence_ = 0;
};

// Bytes on the socket and processor time of both ends for each message.
void measure(const std::string& name, const protocol::body& content) {
    constexpr int count = 20000;
    pair both;
    both.exchange(content);
    const std::uint64_t bytes = both.counts().socket_bytes_sent.value();
    const std::uint64_t payload =
        both.counts().sent[content.index()].bytes.value();
    const double cpu = cpu_seconds();
    const auto start = clock_type::now();
    for (int sent = 0; sent < count; ++sent) {
        both.exchange(content);
    }
    const std::chrono::duration<double> wall = clock_type::now() - start;
    const auto each = [](double total) { return total / count; };
    print(name + "_message_bytes", static_cast<double>(payload), "B");
    print(name + "_socket_bytes",
          each(static_cast<double>(both.counts().socket_bytes_sent.value() -
                                   bytes)),
          "B");
    print(name + "_cpu_both_ends", each(cpu_seconds() - cpu) * 1e6, "us");
    print(name + "_one_way_time", each(wall.count()) * 1e6, "us");
}

double resident_bytes() {
    std::ifstream statm("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    statm >> total >> resident;
    return static_cast<double>(resident) *
           static_cast<double>(sysconf(_SC_PAGESIZE));
}

// Resident memory of one end of an idle connection that has been used.
void measure_memory() {
    constexpr int count = 200;
    std::vector<std::unique_ptr<pair>> pairs;
    pairs.reserve(count);
    const double before = resident_bytes();
    for (int opened = 0; opened < count; ++opened) {
        pairs.push_back(std::make_unique<pair>());
        pairs.back()->exchange(protocol::configuration_notice{1});
    }
    print("connection_end_resident",
          (resident_bytes() - before) / (2.0 * count), "B");
}

}  // namespace
}  // namespace bronzehub::peer

int main() {
    using bronzehub::peer::measure;
    bronzehub::peer::measure_memory();
    namespace protocol = bronzehub::protocol;
    measure("slot_grant", protocol::slot_grant{1000, 7, 12, 3, 9});
    protocol::usage_report report;
    report.rows.assign(20, {3, 9, 123456.5, 4, 812.25, 17});
    measure("usage_report_20_rows", report);
    return 0;
}
