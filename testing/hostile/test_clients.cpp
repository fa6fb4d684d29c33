// Crowds on the port for clients. Each test guards against a daemon that such a crowd takes out of
// memory or descriptors, or that serves nobody afterwards.
#include "hostile_set.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include <sys/resource.h>

using namespace gypsumstep;
using namespace gypsumstep::hostile;
using namespace std::chrono_literals;

namespace {

const std::string start = "START orders k1\r\n";

/// Longer than a crowd needs; one that goes on is stopped then.
constexpr std::chrono::milliseconds longest_run = 20s;

/// Size of an answer that is large but legal, in bytes.
constexpr std::size_t answer_bytes = 1'000'000;

/// Receive buffer of a client that does not read: its window closes after a few packets.
constexpr int small_buffer = 4096;

std::string repeated(const std::string& text, std::size_t times)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i) {
        all += text;
    }
    return all;
}

} // namespace

TEST_CASE("many messages of legal size at once, each in one piece", "[legal-whole]")
{
    hostile_set set;
    crowd many{set.client_port(), 120, {start + long_statement(1'000'000), max_message_bytes}};
    many.run(longest_run);
    set.check_served();
}

TEST_CASE("many messages of legal size at once, each in small pieces", "[legal-pieces]")
{
    hostile_set set;
    crowd many{set.client_port(), 120, {start + long_statement(1'000'000), 8192}};
    many.run(longest_run);
    set.check_served();
}

TEST_CASE("messages far over the limit that never end", "[never-ended]")
{
    hostile_set set;
    const std::string bytes = start + "QUERY q READ " + std::string(4 * max_message_bytes, 'x');
    crowd many{set.client_port(), 120, {bytes, 16'384}};
    many.run(longest_run);
    set.check_served();
}

TEST_CASE("many statements sent ahead without reading the answers", "[pipelined]")
{
    hostile_set set;
    crowd many{set.client_port(), 150, {start + repeated(long_statement(60'000), 40), 120'000}};
    many.run(longest_run);
    set.check_served();
}

TEST_CASE("clients that stop half-way in START", "[stop-in-start]")
{
    hostile_set set;
    crowd many{set.client_port(), 300, {"START ord"}};
    many.run(longest_run);
    set.check_served();
}

TEST_CASE("clients that send START a byte at a time and reconnect", "[slow-start]")
{
    hostile_set set;
    const behaviour slow{"START " + std::string(400, 'o'), 1, 100ms};
    for (int round = 0; round < 3; ++round) {
        crowd many{set.client_port(), 300, slow};
        many.run(1500ms);
        set.check_limits();
    }
    crowd last{set.client_port(), 300, slow};
    last.run(1500ms);
    set.check_served();
}

TEST_CASE("clients that stop half-way in a long message", "[stop-in-message]")
{
    hostile_set set;
    const std::string bytes = start + "QUERY q READ " + std::string(900'000, 'x');
    crowd many{set.client_port(), 120, {bytes, 16'384}};
    many.run(longest_run);
    set.check_served();
}

TEST_CASE("clients that do not read large answers", "[no-reader]")
{
    hostile_set set;
    set.group().set_row_bytes(answer_bytes);
    behaviour silent{start + repeated("QUERY q READ a\r\n", 8)};
    silent.receive_buffer = small_buffer;
    crowd many{set.client_port(), 100, silent};
    many.run(longest_run);
    // The crowd makes no progress that it could see while the servers answer.
    run_event_loop(4s);
    set.group().set_row_bytes(0);
    set.check_served();
}

TEST_CASE("clients that read large answers very slowly", "[slow-reader]")
{
    hostile_set set;
    set.group().set_row_bytes(answer_bytes);
    behaviour slow{start + repeated("QUERY q READ a\r\n", 8), 4096, 20ms, 512};
    slow.receive_buffer = small_buffer;
    crowd many{set.client_port(), 100, slow};
    many.run(8s);
    set.group().set_row_bytes(0);
    set.check_served();
}

TEST_CASE("more connections than descriptors allow", "[many-connections]")
{
    hostile_set set;
    crowd many{set.client_port(), 450, {start}};
    many.run(longest_run);
    set.check_limits();
    many.leave();
    set.check_served();
}

TEST_CASE("clients that prepare many long statements", "[kept-statements]")
{
    hostile_set set;
    std::string bytes = start;
    for (int i = 0; i < 10; ++i) {
        bytes += "QUERY q PREPARE p" + std::to_string(i) + " READ " + std::string(200'000, 'x');
        bytes += "\r\n";
    }
    crowd many{set.client_port(), 60, {bytes, 16'384, 0ms, 512}};
    many.run(longest_run);
    set.check_served();
}

// Guards against limits that ordinary clients meet.
TEST_CASE("on the smallest VM 4,000 idle sessions stay open and a long message is served",
          "[idle-and-long]")
{
    constexpr std::size_t sessions = 4000;
    constexpr rlim_t descriptors = 4500;
    rlimit own{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &own) == 0);
    REQUIRE(own.rlim_max >= descriptors);
    own.rlim_cur = std::max(own.rlim_cur, descriptors);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &own) == 0);
    hostile_set set{smallest_vm};
    crowd idle{set.client_port(), sessions, {start, 64, 5ms, 64}};
    idle.run(longest_run);
    CHECK(idle.connected() == sessions);
    CHECK(is_answered(set.client_port(), start + long_statement(1'000'000), "\r\nDONE ", 20s, 20s));
    idle.run(2s);
    CHECK(idle.connected() == sessions);
    set.check_served();
}
