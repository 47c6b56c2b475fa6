#include "net/byte_channel.hpp"

#include <asio/ip/address_v4.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <optional>

namespace {

using asio::ip::tcp;
using bronzehub::net::byte_channel;
using bronzehub::net::event_loop;

}  // namespace

// Guards against one connection that starves all others: its peer sends as fast
// as the channel reads, so that a loop of reads would never end.
TEST_CASE("bytes without pause leave time for other events of the loop") {
    event_loop loop;
    tcp::acceptor listener(loop.context(),
                           {asio::ip::address_v4::loopback(), 0});
    // Holds several reads, like the buffer that the kernel gives to a fast
    // connection.
    constexpr int receive_buffer_bytes = 4 * 1024 * 1024;
    listener.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    tcp::socket sender(loop.context());
    sender.connect(listener.local_endpoint());
    sender.non_blocking(true);
    const auto channel =
        std::make_shared<byte_channel>(loop, listener.accept());
    const std::string piece(std::size_t{256} * 1024, 'a');
    const auto send = [&] {
        // If the socket's buffer is full, a later call sends more.
        asio::error_code ignored;
        sender.write_some(asio::buffer(piece), ignored);
    };
    constexpr int max_reads = 1000;
    int reads = 0;
    bool other_handler_ran = false;
    const auto on_bytes = [&](std::string_view) {
        if (reads++ == 0) {
            asio::post(loop.context(), [&] { other_handler_ran = true; });
        }
        if (reads < max_reads) {
            send();
        }
    };
    send();
    channel->start({on_bytes, [](const asio::error_code&) {}});
    while (!other_handler_ran) {
        loop.context().run_one();
    }
    CHECK(reads < 10);
    channel->close();
}

// Guards against bytes that overtake others or are lost when large bodies are
// sent without a copy.
TEST_CASE("shared bytes are sent in order") {
    event_loop loop;
    tcp::acceptor listener(loop.context(),
                           {asio::ip::address_v4::loopback(), 0});
    tcp::socket reader(loop.context());
    reader.connect(listener.local_endpoint());
    reader.non_blocking(true);
    const auto channel =
        std::make_shared<byte_channel>(loop, listener.accept());
    channel->start({[](std::string_view) {}, [](const asio::error_code&) {}});
    constexpr std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
    std::string expected;
    for (const char letter : {'a', 'b', 'c'}) {
        const auto body =
            std::make_shared<const std::string>(body_bytes, letter);
        channel->write("head");
        channel->write_shared(body);
        expected.append("head").append(*body);
    }
    channel->write("end");
    expected.append("end");
    std::string received;
    std::string buffer(std::size_t{1024} * 1024, ' ');
    while (received.size() < expected.size()) {
        asio::error_code ignored;  // Nothing to read yet.
        const std::size_t size =
            reader.read_some(asio::buffer(buffer), ignored);
        received.append(buffer, 0, size);
        loop.context().poll_one();
    }
    CHECK(received == expected);
    CHECK(channel->unsent_bytes() == 0);
    CHECK(channel->send_memory() < 100);
    channel->close();
}

namespace {

// A channel whose peer has sent "part" and then reset the connection, which the
// channel has not noticed yet.
struct reset_connection {
    reset_connection() {
        channel->start(
            {[this](std::string_view bytes) { received += bytes; },
             [this](const asio::error_code& error) { closed_with = error; }});
    }

    void run_until(const std::function<bool()>& condition) {
        while (!condition()) {
            REQUIRE(loop.context().run_one_for(std::chrono::seconds(5)) == 1);
        }
    }

    void reset_peer() {
        peer.send(asio::buffer(std::string("part")));
        run_until([this] { return received == "part"; });
        peer.set_option(asio::socket_base::linger(true, 0));
        peer.close();
    }

    event_loop loop;
    tcp::acceptor listener{loop.context(),
                           {asio::ip::address_v4::loopback(), 0}};
    tcp::socket peer{[this] {
        tcp::socket result(loop.context());
        result.connect(listener.local_endpoint());
        return result;
    }()};
    std::shared_ptr<byte_channel> channel =
        std::make_shared<byte_channel>(loop, listener.accept());
    std::string received;
    std::optional<asio::error_code> closed_with;
};

}  // namespace

// Guards against a response without a length that is taken for complete: the
// kernel reports a reset once, and a read after that sees an orderly end.
TEST_CASE("a reset is reported as an error, whichever call meets it first") {
    using action = std::function<void(byte_channel&)>;
    const auto [name, before_reset,
                after_reset] = GENERATE(table<const char*, action, action>({
        {"read", [](byte_channel&) {}, [](byte_channel&) {}},
        {"write", [](byte_channel&) {},
         [](byte_channel& channel) { channel.write("rest"); }},
        {"write of a shared body", [](byte_channel&) {},
         [](byte_channel& channel) {
             channel.write_shared(std::make_shared<const std::string>("rest"));
         }},
        {"write of buffered bytes",
         [](byte_channel& channel) {
             channel.write(std::string(std::size_t{8} << 20U, 'u'));
         },
         [](byte_channel&) {}},
        {"write before reading is resumed", [](byte_channel&) {},
         [](byte_channel& channel) {
             channel.pause_reading();
             channel.write("rest");
             channel.resume_reading();
         }},
        {"look at the connection", [](byte_channel&) {},
         [](byte_channel& channel) { CHECK(channel.is_closed_by_peer()); }},
    }));
    CAPTURE(name);
    reset_connection tested;
    before_reset(*tested.channel);
    tested.reset_peer();
    after_reset(*tested.channel);
    tested.run_until([&] { return tested.closed_with.has_value(); });
    CHECK(*tested.closed_with != asio::error::eof);
    CHECK(*tested.closed_with);
}
