#include "net/byte_channel.hpp"

#include <asio/ip/address_v4.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <catch2/catch.hpp>

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
