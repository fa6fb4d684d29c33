// Tests of the wire form of gossip messages.
#include "gypsumstep/base/random.h"
#include "gypsumstep/membership/codec.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::membership;

namespace {

std::uint64_t any_number(random_source& random)
{
    return random.below(std::uint64_t{1} << (1 + random.below(63)));
}

member_record any_record(random_source& random)
{
    return {{static_cast<std::uint32_t>(any_number(random)),
             static_cast<std::uint16_t>(any_number(random))},
            domain_id{static_cast<std::uint16_t>(any_number(random))},
            daemon_id{any_number(random)},
            any_number(random),
            static_cast<member_status>(random.below(4))};
}

rumours any_news(random_source& random)
{
    rumours news;
    for (std::uint64_t count = random.below(30); count > 0; --count) {
        if (random.chance(0.5)) {
            news.emplace_back(any_record(random));
            continue;
        }
        const std::string body(random.below(max_payload_body + 1), '\xFF');
        news.emplace_back(payload{std::string(1 + random.below(max_payload_key), 'k'),
                                  any_number(random),
                                  static_cast<payload_retention>(random.below(2)), body});
    }
    return news;
}

std::vector<message> one_of_each(random_source& random)
{
    const auto sequence = static_cast<std::uint32_t>(any_number(random));
    const snapshot_cursor cursor{snapshot_stage::payloads, {1, 2}, "primary/3"};
    sync_request sync;
    for (std::uint32_t& bucket : sync.buckets) {
        bucket = static_cast<std::uint32_t>(any_number(random));
    }
    return {ping{sequence, 7, any_news(random)},
            ack{sequence, 8, any_news(random)},
            ping_request{sequence, {5, 6}},
            indirect_ack{sequence},
            gossip{any_news(random)},
            snapshot_request{any_record(random), cursor},
            snapshot_chunk{cursor, any_news(random)},
            sync};
}

} // namespace

TEST_CASE("a message is read back as it was written, at the length foretold")
{
    random_source random{1};
    for (int round = 0; round < 200; ++round) {
        for (const message& value : one_of_each(random)) {
            const auto bytes = encode(value);
            CHECK(bytes.size() == encoded_size(value));
            const auto back = decode(bytes);
            REQUIRE(back.has_value());
            CHECK(back.value() == value);
        }
    }
}

TEST_CASE("damaged messages are refused or read as a message, never worse")
{
    random_source random{2};
    for (int round = 0; round < 50; ++round) {
        for (const message& value : one_of_each(random)) {
            auto bytes = encode(value);
            const auto length = static_cast<std::size_t>(random.below(bytes.size()));
            CHECK_FALSE(decode(std::span{bytes}.first(length)).has_value());
            bytes[random.below(bytes.size())] ^= static_cast<std::uint8_t>(1 + random.below(255));
            static_cast<void>(decode(bytes));
        }
    }
    CHECK_FALSE(decode({}).has_value());
}
