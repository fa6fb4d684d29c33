// Tests of the proofs and messages of the handshake.
#include "gypsumstep/mesh/detail/handshake.h"

#include <catch2/catch.hpp>

using namespace gypsumstep::mesh;

namespace {

detail::handshake_facts make_facts()
{
    return {detail::make_nonce(), detail::make_nonce(), {"127.0.0.1", 1}, {"::1", 2}};
}

} // namespace

TEST_CASE("a proof fits its key, role, nonces and addresses only")
{
    using role = detail::handshake_role;
    const auto facts = make_facts();
    const auto proof = detail::make_proof("new", role::connector, facts);
    CHECK(detail::check_proof({"old", "new"}, role::connector, facts, proof));
    CHECK_FALSE(detail::check_proof({"old"}, role::connector, facts, proof));
    CHECK_FALSE(detail::check_proof({}, role::connector, facts, proof));
    CHECK_FALSE(detail::check_proof({"new"}, role::acceptor, facts, proof));
    CHECK_FALSE(detail::check_proof({"new"}, role::connector, make_facts(), proof));
    CHECK_FALSE(detail::check_proof({"new"}, role::connector, facts, proof.substr(1)));
    auto other = facts;
    other.connector.port = 3;
    CHECK_FALSE(detail::check_proof({"new"}, role::connector, other, proof));
}

TEST_CASE("handshake messages survive encoding, and other bytes are refused")
{
    const detail::challenge_message message{
        detail::make_nonce(), {"10.0.0.1", 65535}, std::string(detail::proof_size, '\n')};
    const auto bytes = detail::encode(message);
    const auto read = detail::decode_challenge(bytes);
    REQUIRE(read.has_value());
    CHECK(read->sender == message.sender);
    CHECK(read->proof == message.proof);
    CHECK_FALSE(detail::decode_challenge(bytes + "x").has_value());
    CHECK_FALSE(detail::decode_challenge(bytes.substr(0, bytes.size() - 1)).has_value());
    for (const auto* address : {"", "a", "a|\n", "a|0\n", "a|70000\n", "|1\n", "a|1", "a|1x\n"}) {
        INFO(address);
        CHECK_FALSE(detail::decode_hello(message.nonce + address).has_value());
    }
}
