#include "protocol/codec.hpp"

#include <catch2/catch.hpp>
#include <msgpack.hpp>

namespace bronzehub::protocol {
namespace {

message sample(body content) {
    return {{"host-1", 7, 42}, std::move(content)};
}

// Guards against a field that is encoded but not decoded, or the reverse.
TEST_CASE("a usage report survives encoding") {
    const message sent = sample(usage_report{true, {{3, 9, 12.5, 2, 80, 4}}});

    const auto received = decode(encode(sent));

    REQUIRE(received.ok());
    CHECK(received->from.host == "host-1");
    CHECK(received->from.sequence == 42);
    const auto& report = std::get<usage_report>(received->content);
    REQUIRE(report.rows.size() == 1);
    CHECK(report.complete);
    CHECK(report.rows[0].organisation == 9);
    CHECK(report.rows[0].served_total == 12.5);
    CHECK(report.rows[0].waiting == 4);
}

// Guards against a message type that decodes as another one.
TEST_CASE("each message type keeps its type") {
    const body content =
        GENERATE(body(probe{}), body(probe_ack{}), body(probe_request{}),
                 body(usage_report{}), body(work_announcement{}),
                 body(slot_grant{}), body(grant_release{}), body(inventory{}),
                 body(leaving_notice{}), body(configuration_notice{}),
                 body(configuration_request{}), body(configuration_delta{}));

    const auto received = decode(encode(sample(content)));

    REQUIRE(received.ok());
    CHECK(received->content.index() == content.index());
}

// Guards against a crash or a half-read message on damaged input.
TEST_CASE("damaged bytes are an error") {
    const std::string whole = encode(sample(slot_grant{1, 2, 3, 4, 5}));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CAPTURE(size);
        const auto received = decode(std::span(whole).first(size));
        CHECK(received.status().code() == absl::StatusCode::kInvalidArgument);
    }
}

// Guards against a release that cannot be upgraded host by host.
TEST_CASE("another major version is refused and a new field is ignored") {
    const auto [major, code] = GENERATE(table<std::uint32_t, absl::StatusCode>({
        {major_version, absl::StatusCode::kOk},
        {major_version + 1, absl::StatusCode::kUnimplemented},
    }));
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    out.pack_array(5);
    out.pack(major);
    out.pack(99);
    out.pack_map(0);
    out.pack(body(configuration_notice{}).index());
    out.pack_map(2);
    out.pack("v");
    out.pack(17);
    out.pack("field_of_a_later_release");
    out.pack("ignored");

    const auto received = decode({buffer.data(), buffer.size()});

    CHECK(received.status().code() == code);
    if (received.ok()) {
        CHECK(std::get<configuration_notice>(received->content).version == 17);
    }
}

}  // namespace
}  // namespace bronzehub::protocol
