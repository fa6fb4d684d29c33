// Tests of message framing: whole, split, malformed and oversized input.
#include "gypsumstep/base/random.h"
#include "gypsumstep/pgwire/backend.h"
#include "gypsumstep/pgwire/bytes.h"
#include "gypsumstep/pgwire/frontend.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::pgwire;

namespace {

constexpr std::size_t limit_bytes = 1024;

std::string query_bytes(std::string_view sql)
{
    return std::move(message_writer{'Q'}.add_text(sql)).finish();
}

} // namespace

TEST_CASE("a message that arrives byte by byte is read whole")
{
    message_splitter splitter{limit_bytes};
    splitter.end_startup_phase();
    const std::string bytes = query_bytes("SELECT 1") + query_bytes("SELECT 2");
    std::vector<std::string> seen;
    for (const char byte : bytes) {
        splitter.feed({&byte, 1});
        const auto next = splitter.next();
        REQUIRE(next.has_value());
        if (next.value()) {
            seen.push_back(std::get<query>(decode_frontend(*next.value()).value()).sql);
        }
    }
    CHECK(seen == std::vector<std::string>{"SELECT 1", "SELECT 2"});
}

TEST_CASE("a length out of range is refused before its bytes arrive")
{
    message_splitter splitter{limit_bytes};
    splitter.end_startup_phase();
    splitter.feed(std::string_view{"Q\x7f\xff\xff\xff", 5});
    CHECK(splitter.next().has_error());
    message_splitter negative{limit_bytes};
    negative.feed(std::string_view{"\xff\xff\xff\xff", 4});
    CHECK(negative.next().has_error());
}

TEST_CASE("startup carries its parameters")
{
    auto writer = message_writer{0};
    writer.add_i32(196608).add_text("user").add_text("smith").add_u8(0);
    message_splitter splitter{limit_bytes};
    splitter.feed(std::move(writer).finish());
    const auto message = decode_frontend(*splitter.next().value());
    CHECK(std::get<startup>(message.value()).parameters.at("user") == "smith");
}

TEST_CASE("a bind with a parameter longer than its message is malformed")
{
    auto writer = message_writer{'B'};
    writer.add_text("").add_text("").add_i16(0).add_i16(1).add_i32(100).add_bytes("short");
    const std::string bytes = std::move(writer).finish();
    CHECK(decode_frontend({'B', bytes.substr(5)}).has_error());
}

TEST_CASE("random bytes never crash the decoder")
{
    random_source random{20261204};
    constexpr std::string_view types = "QPBDCESHX\0";
    for (int round = 0; round < 20'000; ++round) {
        raw_message message{types[random.below(types.size())], {}};
        const auto size = random.below(40);
        for (std::uint64_t i = 0; i < size; ++i) {
            message.body.push_back(static_cast<char>(random.below(256)));
        }
        (void)decode_frontend(message);
    }
    SUCCEED();
}
