// Tests of the envelope codec.
#include "gypsumstep/base/random.h"
#include "gypsumstep/mesh/envelope.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace gypsumstep;

TEST_CASE("an envelope survives encoding")
{
    const mesh::envelope empty{request_id{0}, mesh::message_kind::membership, ""};
    const mesh::envelope full{request_id{std::numeric_limits<std::uint64_t>::max()},
                              mesh::message_kind::control, std::string{"a\0\xff", 3}};
    CHECK(mesh::decode_envelope(mesh::encode(empty)).value() == empty);
    CHECK(mesh::decode_envelope(mesh::encode(full)).value() == full);
}

TEST_CASE("cut, extended or changed frames are refused or decode to some envelope")
{
    random_source random{11};
    const std::string frame =
        mesh::encode({request_id{300}, mesh::message_kind::statement, "select 1"});
    for (std::size_t size = 0; size < frame.size(); ++size) {
        CHECK_FALSE(mesh::decode_envelope(frame.substr(0, size)));
    }
    CHECK_FALSE(mesh::decode_envelope(frame + '\0'));
    CHECK_FALSE(mesh::decode_envelope(mesh::encode({request_id{1}, mesh::message_kind{99}, ""})));
    for (int i = 0; i < 20'000; ++i) {
        std::string changed = frame;
        changed[random.below(changed.size())] = static_cast<char>(random.below(256));
        const auto value = mesh::decode_envelope(changed);
        CHECK((value || value.error().code == error_code::invalid_argument));
    }
}
