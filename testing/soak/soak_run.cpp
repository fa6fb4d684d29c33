#include "soak_run.h"

#include "settings_standin.h"

#include <QCoreApplication>
#include <QDir>
#include <QEventLoop>

#include <utility>

namespace gypsumstep::soak {
namespace {

using adapter::standins::group_standin;
using adapter::standins::store_trouble;

constexpr const char* service = "ledger";

/// Between a server's writes of its registration, as the daemons' settings say.
constexpr std::chrono::milliseconds heartbeat{500};

/// Route's limit of a statement.
constexpr std::uint32_t statement_timeout_ms = 1000;

/// Time for daemons to start and connect before the first fault.
constexpr std::chrono::milliseconds start_time{1500};

/// Longest pause between two faults, and longest fault; faults overlap.
constexpr std::chrono::milliseconds longest_quiet{900};
constexpr std::chrono::milliseconds longest_fault{2500};

/// How far replicas are behind while nothing harms them: enough for a read that ignores it to
/// miss its session's last write.
constexpr std::chrono::milliseconds usual_replica_delay{60};

/// Share of answers that servers lose at all times.
constexpr double usual_lost_answers = 0.005;

/// Longest delay of a piece of bytes on a slow link.
constexpr std::chrono::milliseconds longest_delay{300};

/// Operations that have to succeed after the last fault.
constexpr std::uint64_t wanted_operations = 40;

/// Daemons that are stopped one after the other without any other fault, and the time for
/// one of them to end and to start again.
constexpr std::size_t planned_stops = 2;
constexpr std::chrono::milliseconds stop_time{4000};

/// Time for clients to end their last operation.
constexpr std::chrono::milliseconds settle_time{2500};

std::uint64_t part_seed(std::uint64_t seed, std::uint64_t part)
{
    return hash_combine(seed, part);
}

} // namespace

soak_run::soak_run(run_options chosen)
    : m_options{std::move(chosen)}, m_random{part_seed(m_options.seed, 1)},
      m_group{service,
              part_seed(m_options.seed, 2),
              {
                  [this](const auto& ran) { m_oracle.executed(ran); },
                  [this](const auto& entry) { m_oracle.committed(entry); },
                  [this](const auto& entry) { m_oracle.rolled_back(entry); },
              }},
      m_store{[this](const adapter::standins::promotion_order& order) {
                  note("promotion of " + order.target + " by " + order.holder + " with token " +
                       std::to_string(order.token));
                  return m_group.promote(order.target);
              },
              [this](const std::string& what) { m_oracle.violated(what); }}
{
    for (std::size_t index = 0; index < group_standin::server_count; ++index) {
        m_server_links.at(index) = std::make_unique<fault_proxy>(m_group.listen(index));
        m_server_ports.at(index) = m_server_links.at(index)->listen();
    }
    m_group.set_replica_delay(usual_replica_delay);
    m_group.set_lost_answers(usual_lost_answers);
    m_store_link = std::make_unique<fault_proxy>(m_store.listen());
    const std::uint16_t store_port = m_store_link->listen();
    write_configuration();
    connect(&m_registrations, &QTimer::timeout, this, [this] { write_registrations(); });
    m_registrations.start(heartbeat);
    write_registrations();
    m_daemons = std::make_unique<daemon_set>(m_options.program, m_options.daemons,
                                             m_options.first_port, store_port);
}

void soak_run::note(const std::string& fault)
{
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - m_began);
    m_faults.push_back(std::to_string(passed.count()) + " ms: " + fault);
}

void soak_run::write_configuration()
{
    using namespace adapter::standins;
    const std::vector<route_text> routes{
        {"orders", primary_route}, {"lookups", bounded_route}, {"schedules", own_commits_route}};
    m_configuration += 1 + m_random.below(3);
    m_store.put(
        operator_table, configuration_key,
        configuration_text(m_configuration, service, routes,
                           static_cast<std::uint32_t>(oracle::staleness.count()),
                           statement_timeout_ms + static_cast<std::uint32_t>(m_random.below(200))));
}

void soak_run::write_registrations()
{
    if (m_store.trouble() != store_trouble::none) {
        return;
    }
    for (std::size_t index = 0; index < group_standin::server_count; ++index) {
        const auto entry = m_group.registration_of(index, m_server_ports.at(index));
        if (entry) {
            m_store.put(adapter::standins::server_table, entry->id, entry->text);
        }
        else {
            m_store.remove(adapter::standins::server_table,
                           std::string{service} + "-i" + std::to_string(index));
        }
    }
}

std::chrono::milliseconds soak_run::some_time(std::chrono::milliseconds most)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        m_random.between(duration{most} / 10, duration{most}));
}

void soak_run::wait(std::chrono::milliseconds time)
{
    QEventLoop loop;
    QTimer::singleShot(time, &loop, &QEventLoop::quit);
    loop.exec();
}

void soak_run::harm_something()
{
    const std::uint64_t kind = m_random.below(10);
    const std::size_t daemon = m_random.below(m_daemons->size());
    const auto time = some_time(longest_fault);
    const std::string name = "daemon " + std::to_string(daemon);
    if (kind == 0) {
        note("kill " + name);
        m_daemons->harm(daemon, process_fault::kill, time);
    }
    else if (kind <= 2) {
        note("stop " + name);
        m_daemons->harm(daemon, process_fault::stop, time);
    }
    else if (kind == 3) {
        note("pause " + name + " for " + std::to_string(time.count()) + " ms");
        m_daemons->harm(daemon, process_fault::pause, time);
    }
    else if (kind == 4) {
        harm_store();
    }
    else if (kind == 5) {
        harm_link(*m_store_link, "the store's link");
    }
    else if (kind == 6) {
        const std::size_t server = m_random.below(group_standin::server_count);
        harm_link(*m_server_links.at(server), "the link of server " + std::to_string(server));
    }
    else if (kind == 7) {
        harm_server();
    }
    else if (kind == 8) {
        replace_primary();
    }
    else {
        note("a new configuration");
        write_configuration();
    }
}

void soak_run::harm_store()
{
    constexpr std::array<std::pair<store_trouble, const char*>, 3> kinds{
        {{store_trouble::refusing, "the store refuses calls"},
         {store_trouble::silent, "the store is silent"},
         {store_trouble::losing_answers, "the store loses answers"}}};
    const auto& [trouble, text] = kinds.at(m_random.below(kinds.size()));
    note(text);
    m_store.set_trouble(trouble);
    QTimer::singleShot(some_time(longest_fault), this,
                       [this] { m_store.set_trouble(store_trouble::none); });
}

void soak_run::harm_link(fault_proxy& link, const std::string& name)
{
    constexpr std::array<std::pair<link_trouble, const char*>, 4> kinds{
        {{link_trouble::delayed, "delay "},
         {link_trouble::cut_one_way, "cut one way of "},
         {link_trouble::silenced, "silence "},
         {link_trouble::refusing_resets, "reset "}}};
    const auto& [trouble, text] = kinds.at(m_random.below(kinds.size()));
    note(text + name);
    if (trouble == link_trouble::refusing_resets) {
        link.reset_all();
    }
    link.set_trouble(trouble, some_time(longest_delay));
    QTimer::singleShot(some_time(longest_fault), this,
                       [&link] { link.set_trouble(link_trouble::none, {}); });
}

void soak_run::harm_server()
{
    if (m_random.chance(0.3)) {
        note("servers lose answers, replicas are slow");
        m_group.set_lost_answers(0.05);
        m_group.set_replica_delay(some_time(longest_fault) / 4);
        QTimer::singleShot(some_time(longest_fault), this, [this] {
            m_group.set_lost_answers(usual_lost_answers);
            m_group.set_replica_delay(usual_replica_delay);
        });
        return;
    }
    const std::size_t server = m_random.chance(0.5) && m_group.primary()
                                   ? *m_group.primary()
                                   : m_random.below(group_standin::server_count);
    note("crash of server " + std::to_string(server));
    m_group.crash(server);
    QTimer::singleShot(some_time(longest_fault), this, [this, server] { m_group.restart(server); });
}

void soak_run::replace_primary()
{
    const auto leader = m_group.primary();
    if (!leader) {
        return;
    }
    note("server " + std::to_string(*leader) + " is to be replaced");
    m_group.set_draining(*leader, true);
    write_registrations();
    QTimer::singleShot(longest_fault, this,
                       [this, server = *leader] { m_group.set_draining(server, false); });
}

void soak_run::heal()
{
    // Faults that are still under way end by their own timers.
    wait(longest_fault);
    m_daemons->heal();
    note("the last fault is over");
}

std::uint64_t soak_run::total_reads() const
{
    std::uint64_t total = 0;
    for (const auto& each : m_clients) {
        total += each->reads_done();
    }
    return total;
}

std::uint64_t soak_run::total_writes() const
{
    std::uint64_t total = 0;
    for (const auto& each : m_clients) {
        total += each->writes_done();
    }
    return total;
}

bool soak_run::served_since(std::uint64_t reads, std::uint64_t writes) const
{
    return total_reads() >= reads + wanted_operations &&
           total_writes() >= writes + wanted_operations;
}

void soak_run::stop_as_planned()
{
    m_group.set_lost_answers(0.0);
    // What was harmed before has had its consequences by then.
    wait(settle_time);
    m_oracle.begin_planned_work();
    for (std::size_t count = 0; count < planned_stops; ++count) {
        const std::size_t daemon = m_random.below(m_daemons->size());
        note("planned stop of daemon " + std::to_string(daemon));
        m_daemons->harm(daemon, process_fault::stop, std::chrono::milliseconds{0});
        wait(stop_time);
    }
}

std::vector<std::string> soak_run::play()
{
    wait(start_time);
    const std::array<soak_route, 3> routes{{{"orders", read_rule::everything},
                                            {"lookups", read_rule::bounded_age},
                                            {"schedules", read_rule::own_commits}}};
    for (std::size_t index = 0; index < m_options.clients; ++index) {
        m_clients.push_back(std::make_unique<soak_client>(
            index + 1, part_seed(m_options.seed, 100 + index), routes.at(index % routes.size()),
            [this] { return m_daemons->client_port(m_random.below(m_daemons->size())); },
            m_oracle));
    }
    const auto end = std::chrono::steady_clock::now() + m_options.fault_time;
    while (std::chrono::steady_clock::now() < end) {
        wait(some_time(longest_quiet));
        harm_something();
    }
    heal();
    const std::uint64_t reads = total_reads();
    const std::uint64_t writes = total_writes();
    const auto limit = std::chrono::steady_clock::now() + m_options.recovery_limit;
    while (!served_since(reads, writes) && std::chrono::steady_clock::now() < limit) {
        wait(std::chrono::milliseconds{100});
    }
    if (!served_since(reads, writes)) {
        m_oracle.violated("RECOVER: " + std::to_string(total_reads() - reads) + " reads and " +
                          std::to_string(total_writes() - writes) +
                          " writes succeeded after the last fault");
    }
    stop_as_planned();
    for (const auto& each : m_clients) {
        each->stop();
    }
    wait(settle_time);
    m_oracle.check_end(m_group.primary_log());
    for (const std::string& each : m_daemons->unexpected_ends()) {
        m_oracle.violated("a process ended by itself: " + each);
    }
    std::vector<std::string> report = m_oracle.violations();
    if (!report.empty()) {
        report.insert(report.end(), m_faults.begin(), m_faults.end());
        if (!m_options.log_directory.empty()) {
            m_daemons->keep_logs(m_options.log_directory + "/seed-" +
                                 std::to_string(m_options.seed));
        }
    }
    return report;
}

} // namespace gypsumstep::soak
