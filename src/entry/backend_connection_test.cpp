#include "entry/backend_connection.hpp"

#include <asio/ip/address_v4.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <vector>

namespace {

using asio::ip::tcp;
using bronzehub::entry::backend_connection;
using bronzehub::entry::event_loop;
using bronzehub::entry::exchange_hooks;
using bronzehub::entry::exchange_result;
using bronzehub::entry::message_head;

// A connection to a listener on loopback that answers with given bytes.
struct exchange {
    exchange()
        : listener(loop.context(),
                   tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          connection(std::make_shared<backend_connection>(
              loop, "127.0.0.1:" +
                        std::to_string(listener.local_endpoint().port()))) {}

    // Sends a request and answers it; returns when the exchange has ended.
    void run(std::string_view answer) {
        connection->send({"GET", "/", {}, ""}, make_hooks());
        listener.accept(server);
        asio::write(server, asio::buffer(answer.data(), answer.size()));
        while (ends.empty()) {
            loop.context().run_one();
        }
    }

    exchange_hooks make_hooks() {
        return {[this](const message_head& head) { return on_head(head); },
                [this](std::string_view bytes) { on_body(bytes); },
                [this](exchange_result how, std::string_view given) {
                    ends.push_back(how);
                    reason = given;
                }};
    }

    event_loop loop;
    tcp::acceptor listener;
    tcp::socket server{loop.context()};
    std::shared_ptr<backend_connection> connection;
    std::function<bool(const message_head&)> on_head = [](const message_head&) {
        return true;
    };
    std::function<void(std::string_view)> on_body = [](std::string_view) {};
    std::vector<exchange_result> ends;
    std::string reason;
};

constexpr std::string_view whole =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "1\r\na\r\n1\r\nb\r\n0\r\n\r\n";

}  // namespace

TEST_CASE("a whole response leaves the connection free") {
    exchange tested;
    tested.run(whole);
    CHECK(tested.ends == std::vector{exchange_result::complete});
    CHECK(tested.connection->is_free());
}

// Guards against an owner that is called on after it has given up, and against
// a connection that is used again while its response is not whole.
TEST_CASE("an exchange that its owner fails ends once, as broken") {
    const bool at_head = GENERATE(true, false);
    exchange tested;
    int parts = 0;
    tested.on_head = [&](const message_head&) {
        if (at_head) {
            tested.connection->fail_exchange("not wanted");
        }
        return true;
    };
    tested.on_body = [&](std::string_view) {
        ++parts;
        tested.connection->fail_exchange("not wanted");
    };
    tested.run(whole);
    CHECK(tested.ends == std::vector{exchange_result::failed});
    CHECK(tested.reason == "not wanted");
    CHECK(parts == (at_head ? 0 : 1));
    CHECK(tested.connection->is_closed());
}

// Guards against bytes behind a response that are taken for the next one, as
// nobody read them while the connection was idle.
TEST_CASE("bytes on an idle connection close it") {
    const bool paused = GENERATE(false, true);
    exchange tested;
    tested.on_body = [&](std::string_view) {
        if (paused) {
            tested.connection->pause_reading();
        }
    };
    tested.run(whole);
    REQUIRE(tested.connection->is_free());
    asio::write(tested.server, asio::buffer("HTTP/1.1 200 OK\r\n", 17));
    tested.loop.context().poll();
    CHECK(tested.connection->is_closed());
}
