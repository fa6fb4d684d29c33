#include "hostile_set.h"

#include "process_state.h"
#include "settings_standin.h"

#include <catch2/catch.hpp>

#include <QCoreApplication>

#include <array>
#include <cstdlib>

namespace gypsumstep::hostile {
namespace {

namespace standins = adapter::standins;

constexpr const char* service = "ledger";
constexpr std::uint32_t statement_timeout_ms = 5000;
constexpr std::uint32_t staleness_ms = 1500;
constexpr std::uint64_t seed = 7;

/// Interval at which a server writes its registration; the daemon's settings hold the same.
constexpr std::chrono::milliseconds heartbeat{500};

/// Start of the search for free ports; beside those of the soak and the demo.
constexpr std::uint16_t first_port = 21'000;

/// Time for an ordinary request, all attempts together: long, because a busy machine may be slow.
constexpr std::chrono::milliseconds longest_wait{40'000};

/// Time for one attempt; ordinary clients give up after some seconds.
constexpr std::chrono::milliseconds attempt_time{4000};

const std::string ordinary_request = "START orders k1\r\nQUERY q1 READ a\r\n";
const std::string ordinary_answer = "\r\nDONE ";

QCoreApplication& application()
{
    static int count = 1;
    static std::array<char, 8> name{"hostile"};
    static std::array<char*, 2> arguments{name.data(), nullptr};
    static QCoreApplication instance{count, arguments.data()};
    return instance;
}

/// The time limits are shorter than the defaults, so that a test takes seconds.
std::string settings_of_test(const stated_limits& limits)
{
    const char* const times =
        limits.usual_times ? ""
                           : "clients.start-timeout-ms=2000\nclients.message-timeout-ms=4000\n"
                             "clients.unread-timeout-ms=4000\n";
    return "limits.memory-mb=" + std::to_string(limits.memory_mb) +
           "\nlimits.max-fds=" + std::to_string(limits.max_descriptors) + '\n' + times;
}

/// Made before the members that need an event loop.
std::uint64_t seed_after_application()
{
    application();
    return seed;
}

} // namespace

std::string long_statement(std::size_t size)
{
    std::string line = "QUERY big READ ";
    line.append(size - line.size() - 2, 'x');
    return line + "\r\n";
}

hostile_set::hostile_set(stated_limits limits)
    : m_limits{limits}, m_group{service,
                                seed_after_application(),
                                {[](const auto&) {}, [](const auto&) {}, [](const auto&) {}}},
      m_store{
          [this](const standins::promotion_order& order) { return m_group.promote(order.target); },
          [](const std::string&) {}}
{
    const std::uint16_t store_port = m_store.listen();
    for (std::size_t index = 0; index < standins::group_standin::server_count; ++index) {
        m_server_ports.at(index) = m_group.listen(index);
    }
    m_store.put(standins::operator_table, standins::configuration_key,
                standins::configuration_text(1, service, {{"orders", standins::primary_route}},
                                             staleness_ms, statement_timeout_ms));
    connect(&m_registration_timer, &QTimer::timeout, this, [this] { write_registrations(); });
    m_registration_timer.start(heartbeat);
    write_registrations();
    m_daemons = std::make_unique<soak::daemon_set>(
        HOSTILE_PROGRAM, 1, first_port, store_port,
        soak::daemon_options{settings_of_test(m_limits), m_limits.max_descriptors});
    REQUIRE(
        is_answered(client_port(), ordinary_request, ordinary_answer, attempt_time, longest_wait));
    m_process = m_daemons->process_id(0);
    UNSCOPED_INFO("peak memory before the crowd: " << peak_memory_mib(m_process) << " MiB");
}

std::uint16_t hostile_set::readiness_port() const
{
    return static_cast<std::uint16_t>(client_port() + 1);
}

std::uint16_t hostile_set::forwarding_port() const
{
    return static_cast<std::uint16_t>(client_port() + 3);
}

std::uint16_t hostile_set::relay_port() const
{
    return static_cast<std::uint16_t>(client_port() + 4);
}

void hostile_set::write_registrations()
{
    for (std::size_t index = 0; index < standins::group_standin::server_count; ++index) {
        if (const auto entry = m_group.registration_of(index, m_server_ports.at(index))) {
            m_store.put(standins::server_table, entry->id, entry->text);
        }
    }
}

void hostile_set::check_limits() const
{
    CHECK(m_daemons->unexpected_exits().empty());
    CHECK(m_daemons->process_id(0) == m_process);
    CHECK(peak_memory_mib(m_process) <= m_limits.memory_mb);
    CHECK(open_sockets(m_process) <= m_limits.max_descriptors - reserved_for_files);
}

void hostile_set::check_served() const
{
    check_limits();
    CHECK(
        is_answered(client_port(), ordinary_request, ordinary_answer, attempt_time, longest_wait));
    check_limits();
    if (std::getenv("HOSTILE_FIGURES") != nullptr) {
        WARN("peak memory " << peak_memory_mib(m_process) << " MiB, sockets "
                            << open_sockets(m_process));
    }
}

} // namespace gypsumstep::hostile
