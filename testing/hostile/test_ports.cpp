// Crowds on the ports for other daemons: forwarded sessions and the relay. Each test guards against
// a daemon that such a crowd takes out of memory or descriptors, or that serves nobody afterwards.
#include "hostile_set.h"

#include <catch2/catch.hpp>

#include <string>

using namespace gypsumstep;
using namespace gypsumstep::hostile;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds longest_run = 20s;

const std::string forwarded_start = "START orders 1 -\r\n";

/// The length of a relay message, most significant byte first.
std::string relay_length(std::uint32_t length)
{
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes += static_cast<char>(length >> static_cast<unsigned>(shift) & 0xffU);
    }
    return bytes;
}

} // namespace

TEST_CASE("messages far over the limit on the port for forwarded sessions",
          "[forwarding-never-ended]")
{
    hostile_set set;
    const std::string bytes =
        forwarded_start + "QUERY q READ " + std::string(4 * max_message_bytes, 'x');
    crowd many{set.forwarding_port(), 120, {bytes, 16'384}};
    many.run(longest_run);
    set.check_served();
}

TEST_CASE("forwarded sessions that stop half-way in START", "[forwarding-stop-in-start]")
{
    hostile_set set;
    crowd many{set.forwarding_port(), 300, {"START ord"}};
    many.run(longest_run);
    set.check_served();
}

TEST_CASE("forwarded sessions that stop half-way in a long message", "[forwarding-stop-in-message]")
{
    hostile_set set;
    const std::string bytes = forwarded_start + "QUERY q READ " + std::string(900'000, 'x');
    crowd many{set.forwarding_port(), 120, {bytes, 16'384}};
    many.run(longest_run);
    set.check_served();
}

TEST_CASE("relay messages of the largest size from many peers", "[relay-never-ended]")
{
    hostile_set set;
    const std::string bytes = relay_length(8U << 20U) + std::string(2 * max_message_bytes, 'x');
    crowd many{set.relay_port(), 100, {bytes, 16'384}};
    many.run(longest_run);
    set.check_served();
}

TEST_CASE("relay messages that stop half-way", "[relay-stop-in-message]")
{
    hostile_set set;
    const std::string bytes = relay_length(1U << 20U) + std::string(900'000, 'x');
    crowd many{set.relay_port(), 100, {bytes, 16'384}};
    many.run(longest_run);
    set.check_served();
}

TEST_CASE("relay connections that stop in the length of a message", "[relay-stop-in-length]")
{
    hostile_set set;
    crowd many{set.relay_port(), 300, {std::string(2, '\0')}};
    many.run(longest_run);
    set.check_served();
}

TEST_CASE("requests for the readiness that stop half-way", "[readiness-stop-in-request]")
{
    hostile_set set;
    crowd many{set.readiness_port(), 300, {"GET /readiness HT"}};
    many.run(longest_run);
    set.check_served();
}
