#include "entry/byte_channel.hpp"

#include <asio/ip/address_v4.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <catch2/catch.hpp>

namespace {

using asio::ip::tcp;
using bronzehub::entry::byte_channel;
using bronzehub::entry::event_loop;

}  // namespace

// Guards against one connection that keeps the thread from all others because
// its bytes come as fast as they are read.
TEST_CASE("bytes without end leave time for the rest of the loop") {
    event_loop loop;
    tcp::acceptor listener(loop.context(),
                           {asio::ip::address_v4::loopback(), 0});
    // Room for several reads, as the kernel gives to a fast connection.
    constexpr int room = 4 * 1024 * 1024;
    listener.set_option(asio::socket_base::receive_buffer_size(room));
    tcp::socket sender(loop.context());
    sender.connect(listener.local_endpoint());
    sender.non_blocking(true);
    const auto tested = std::make_shared<byte_channel>(loop, listener.accept());
    const std::string piece(std::size_t{256} * 1024, 'a');
    const auto send = [&] {
        asio::error_code full;  // The rest follows at the next read.
        sender.write_some(asio::buffer(piece), full);
    };
    constexpr int reads_of_a_starved_loop = 1000;
    int reads = 0;
    bool others_ran = false;
    const auto on_bytes = [&](std::string_view) {
        if (reads++ == 0) {
            asio::post(loop.context(), [&] { others_ran = true; });
        }
        if (reads < reads_of_a_starved_loop) {
            send();
        }
    };
    send();
    tested->start({on_bytes, [](const asio::error_code&) {}});
    while (!others_ran) {
        loop.context().run_one();
    }
    CHECK(reads < 10);
    tested->close();
}
