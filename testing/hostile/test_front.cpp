// Crowds on the port for PostgreSQL clients of gypsumstepd, which run-front starts. Each test
// guards against a daemon that such a crowd takes out of memory or sessions.
#include "crowd.h"
#include "process_state.h"

#include <catch2/catch.hpp>

#include <QCoreApplication>

#include <array>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace gypsumstep;
using namespace gypsumstep::hostile;
using namespace std::chrono_literals;

namespace {

/// Memory of the smallest VM, in MiB.
constexpr std::uint64_t front_memory_mib = 160;

constexpr std::chrono::milliseconds longest_run = 20s;
constexpr std::chrono::milliseconds attempt_time = 4s;
constexpr std::chrono::milliseconds longest_wait = 60s;

std::string big_endian(std::uint32_t value)
{
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8) {
        bytes += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
    }
    return bytes;
}

std::string startup()
{
    using namespace std::string_literals;
    constexpr std::uint32_t protocol = 3U << 16U;
    const std::string body = big_endian(protocol) + "user\0demo\0database\0ledger-1\0\0"s;
    return big_endian(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

std::string query(const std::string& sql)
{
    return 'Q' + big_endian(static_cast<std::uint32_t>(sql.size() + 5)) + sql + '\0';
}

struct front {
    std::uint16_t port{0};
    std::int64_t process{0};

    front()
    {
        static int count = 1;
        static std::array<char, 6> name{"front"};
        static std::array<char*, 2> arguments{name.data(), nullptr};
        static QCoreApplication application{count, arguments.data()};
        const char* const given_port = std::getenv("HOSTILE_FRONT_PORT");
        const char* const given_process = std::getenv("HOSTILE_FRONT_PID");
        REQUIRE(given_port != nullptr);
        REQUIRE(given_process != nullptr);
        port = static_cast<std::uint16_t>(std::stoul(given_port));
        process = std::stoll(given_process);
        REQUIRE(is_served());
    }

    [[nodiscard]] bool is_served() const
    {
        // The answer to a statement ends with CommandComplete ('C') and its tag.
        return is_answered(port, startup() + query("SELECT 1"), "SELECT 1", attempt_time,
                           longest_wait);
    }

    void check_served() const
    {
        CHECK(peak_memory_mib(process) > 0);
        CHECK(peak_memory_mib(process) <= front_memory_mib);
        CHECK(is_served());
        CHECK(peak_memory_mib(process) <= front_memory_mib);
        if (std::getenv("HOSTILE_FIGURES") != nullptr) {
            WARN("peak memory " << peak_memory_mib(process) << " MiB, sockets "
                                << open_sockets(process));
        }
    }
};

} // namespace

TEST_CASE("gypsumstepd: messages of the largest size that never end", "[.][front-never-ended]")
{
    const front daemon;
    const std::string bytes =
        startup() + 'Q' + big_endian(16U << 20U) + std::string(4U << 20U, 'x');
    crowd many{daemon.port, 100, {bytes, 32'768}};
    many.run(longest_run);
    daemon.check_served();
}

TEST_CASE("gypsumstepd: clients that stop half-way in a message", "[.][front-stop-in-message]")
{
    const front daemon;
    const std::string bytes = startup() + 'Q' + big_endian(1U << 20U) + std::string(900'000, 'x');
    crowd many{daemon.port, 250, {bytes, 32'768}};
    many.run(longest_run);
    daemon.check_served();
}

TEST_CASE("gypsumstepd: clients that stop half-way in the startup message",
          "[.][front-stop-in-start]")
{
    const front daemon;
    crowd many{daemon.port, 100, {startup().substr(0, 9)}};
    many.run(longest_run);
    daemon.check_served();
}
