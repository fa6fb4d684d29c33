#include "soak_run.h"

#include "settings_standin.h"

#include <QCoreApplication>
#include <QDir>
#include <QEventLoop>
#include <QHostAddress>
#include <QTcpSocket>

#include <algorithm>
#include <utility>

namespace gypsumstep::soak {
namespace {

using adapter::standins::group_standin;
using adapter::standins::store_trouble;

constexpr const char* service = "ledger";

/// Interval at which a server writes its registration; the daemons' settings hold the same.
constexpr std::chrono::milliseconds heartbeat{500};

/// Statement timeout of the routes.
constexpr std::uint32_t statement_timeout_ms = 1000;

/// Time for daemons to start and connect before the first fault.
constexpr std::chrono::milliseconds start_time{1500};

/// Longest pause before a fault is injected, and longest duration of a fault; faults overlap.
constexpr std::chrono::milliseconds longest_pause{900};
constexpr std::chrono::milliseconds longest_fault{2500};

/// The store tells its era, and goes back, in this share of the runs.
constexpr double store_drill_share = 0.75;

/// Most drills of a run; time between the copy and the loss of the store; time until it is back;
/// and time until the operator has written the newest configuration again.
constexpr std::uint64_t most_drills = 2;
constexpr std::chrono::milliseconds longest_copy_age{3000};
constexpr std::chrono::milliseconds longest_absence{800};
constexpr std::chrono::milliseconds longest_operator_delay{1000};

/// Share of the drills in which the primary crashes right after the copy, so that its replacement
/// is in what the store loses.
constexpr double crash_share = 0.6;

/// Replication lag without a fault: enough that a read which ignores it misses the last write of
/// its session.
constexpr std::chrono::milliseconds default_replica_delay{60};

/// Share of answers that servers lose while no fault raises it.
constexpr double default_lost_answers = 0.005;

/// Longest delay of a chunk of bytes on a delayed link.
constexpr std::chrono::milliseconds longest_delay{300};

/// Reads, and likewise writes, that have to succeed after the last fault.
constexpr std::uint64_t required_operations = 40;

/// Number of daemons that are stopped one after the other without any other fault, and the time
/// for one of them to end and to start again.
constexpr std::size_t planned_stops = 2;
constexpr std::chrono::milliseconds stop_time{4000};

/// Time for the effects of earlier faults to pass, and for clients to end their last operation.
constexpr std::chrono::milliseconds settle_time{2500};

/// Route that is added at the end, and the platform's limit for putting a configuration in force.
constexpr const char* added_route = "added";
constexpr std::chrono::milliseconds configuration_limit{6000};

/// Time for the answer to the start of a session, before it is tried again.
constexpr std::chrono::milliseconds start_limit{500};

std::uint64_t derive_seed(std::uint64_t seed, std::uint64_t stream)
{
    return hash_combine(seed, stream);
}

} // namespace

soak_run::soak_run(run_options options)
    : m_options{std::move(options)}, m_random{derive_seed(m_options.seed, 1)},
      m_drill_random{derive_seed(m_options.seed, 3)},
      m_group{service,
              derive_seed(m_options.seed, 2),
              {
                  [this](const auto& execution) { m_oracle.executed(execution); },
                  [this](const auto& entry) { m_oracle.committed(entry); },
                  [this](const auto& entry) { m_oracle.rolled_back(entry); },
              }},
      m_tells_era{m_drill_random.chance(store_drill_share)},
      m_store{[this](const adapter::standins::promotion_order& order) {
                  record_event("promotion of " + order.target + " by " + order.holder +
                               " with token " + std::to_string(order.token));
                  return m_group.promote(order.target);
              },
              [this](const std::string& description) { m_oracle.violated(description); }}
{
    for (std::size_t index = 0; index < group_standin::server_count; ++index) {
        m_server_links.at(index) = std::make_unique<fault_proxy>(m_group.listen(index));
        m_server_ports.at(index) = m_server_links.at(index)->listen();
    }
    m_store.set_era(m_tells_era ? 1 : 0);
    m_group.set_replica_delay(default_replica_delay);
    m_group.set_lost_answers(default_lost_answers);
    m_store_link = std::make_unique<fault_proxy>(m_store.listen());
    const std::uint16_t store_port = m_store_link->listen();
    write_configuration();
    write_odd_entries();
    connect(&m_registration_timer, &QTimer::timeout, this, [this] { write_registrations(); });
    m_registration_timer.start(heartbeat);
    write_registrations();
    m_daemons = std::make_unique<daemon_set>(m_options.program, m_options.daemons,
                                             m_options.first_port, store_port);
}

void soak_run::record_event(const std::string& event)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - m_started_at);
    m_events.push_back(std::to_string(elapsed.count()) + " ms: " + event);
}

void soak_run::write_configuration()
{
    using namespace adapter::standins;
    std::vector<route_text> routes{
        {"orders", primary_route}, {"lookups", bounded_route}, {"schedules", own_commits_route}};
    if (m_has_added_route) {
        routes.push_back({added_route, primary_route});
    }
    m_configuration_version += 1 + m_random.below(3);
    m_configuration =
        configuration_text(m_configuration_version, service, routes,
                           static_cast<std::uint32_t>(oracle::staleness.count()),
                           statement_timeout_ms + static_cast<std::uint32_t>(m_random.below(200)));
    m_store.put(operator_table, configuration_key, m_configuration);
}

void soak_run::write_odd_entries()
{
    using namespace adapter::standins;
    for (const auto& [key, value] : odd_server_rows()) {
        m_store.put(server_table, key, value);
    }
    for (const auto& [key, value] : odd_daemon_rows()) {
        m_store.put(daemon_table, key, value);
    }
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

std::chrono::milliseconds soak_run::random_time(std::chrono::milliseconds longest)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        m_random.between(duration{longest} / 10, duration{longest}));
}

void soak_run::wait(std::chrono::milliseconds time)
{
    QEventLoop loop;
    QTimer::singleShot(time, &loop, &QEventLoop::quit);
    loop.exec();
}

void soak_run::inject_random_fault()
{
    const std::uint64_t kind = m_random.below(10);
    const std::size_t daemon = m_random.below(m_daemons->size());
    const auto time = random_time(longest_fault);
    const std::string name = "daemon " + std::to_string(daemon);
    if (kind == 0) {
        record_event("kill " + name);
        m_daemons->inject(daemon, process_fault::kill, time);
    }
    else if (kind <= 2) {
        record_event("stop " + name);
        m_daemons->inject(daemon, process_fault::stop, time);
    }
    else if (kind == 3) {
        record_event("pause " + name + " for " + std::to_string(time.count()) + " ms");
        m_daemons->inject(daemon, process_fault::pause, time);
    }
    else if (kind == 4) {
        inject_store_fault();
    }
    else if (kind == 5) {
        inject_link_fault(*m_store_link, "the store's link");
    }
    else if (kind == 6) {
        const std::size_t server = m_random.below(group_standin::server_count);
        inject_link_fault(*m_server_links.at(server),
                          "the link of server " + std::to_string(server));
    }
    else if (kind == 7) {
        inject_server_fault();
    }
    else if (kind == 8) {
        request_primary_replacement();
    }
    else {
        record_event("a new configuration");
        write_configuration();
    }
}

void soak_run::inject_store_fault()
{
    constexpr std::array<std::pair<store_trouble, const char*>, 3> kinds{
        {{store_trouble::refusing, "the store refuses calls"},
         {store_trouble::silent, "the store is silent"},
         {store_trouble::losing_answers, "the store loses answers"}}};
    const auto& [trouble, text] = kinds.at(m_random.below(kinds.size()));
    record_event(text);
    m_store.set_trouble(trouble);
    QTimer::singleShot(random_time(longest_fault), this,
                       [this] { m_store.set_trouble(store_trouble::none); });
}

void soak_run::schedule_store_drills()
{
    if (!m_tells_era) {
        return;
    }
    m_planned_drills = 1 + m_drill_random.below(most_drills);
    const auto part = m_options.fault_time / static_cast<std::int64_t>(m_planned_drills);
    for (std::size_t drill = 0; drill < m_planned_drills; ++drill) {
        // Within its part of the run, so that drills do not overlap.
        const duration latest = std::max(duration{part - longest_copy_age - longest_absence},
                                         duration{std::chrono::milliseconds{200}});
        const auto begin = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_drill_random.between(duration{0}, latest));
        QTimer::singleShot(part * static_cast<std::int64_t>(drill) + begin, this,
                           [this] { begin_store_drill(); });
    }
}

void soak_run::begin_store_drill()
{
    const auto time_up_to = [this](std::chrono::milliseconds longest) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            m_drill_random.between(duration{longest} / 10, duration{longest}));
    };
    record_event("drill: the store takes a copy");
    m_store.take_copy();
    const bool crashes = m_drill_random.chance(crash_share);
    const auto primary = m_group.primary();
    if (crashes && primary) {
        record_event("drill: crash of server " + std::to_string(*primary));
        m_group.crash(*primary);
        QTimer::singleShot(longest_fault, this,
                           [this, server = *primary] { m_group.restart(server); });
    }
    const auto age = time_up_to(longest_copy_age);
    const auto absence = time_up_to(longest_absence);
    const bool silent = m_drill_random.chance(0.5);
    QTimer::singleShot(age, this, [this, silent] {
        record_event("drill: the store is away");
        m_store.set_trouble(silent ? store_trouble::silent : store_trouble::refusing);
    });
    QTimer::singleShot(age + absence, this, [this] { end_store_drill(); });
}

void soak_run::end_store_drill()
{
    record_event("drill: the store is back from the copy");
    m_store.go_back();
    m_store.set_trouble(store_trouble::none);
    ++m_ended_drills;
    QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(
                           m_drill_random.between(duration{0}, duration{longest_operator_delay})),
                       this, [this] {
                           m_store.put(adapter::standins::operator_table,
                                       adapter::standins::configuration_key, m_configuration);
                       });
}

void soak_run::inject_link_fault(fault_proxy& link, const std::string& name)
{
    constexpr std::array<std::pair<link_fault, const char*>, 4> kinds{
        {{link_fault::delayed, "delay "},
         {link_fault::cut_one_way, "cut one way of "},
         {link_fault::silenced, "silence "},
         {link_fault::resetting, "reset "}}};
    const auto& [fault, text] = kinds.at(m_random.below(kinds.size()));
    record_event(text + name);
    if (fault == link_fault::resetting) {
        link.reset_all();
    }
    link.set_fault(fault, random_time(longest_delay));
    QTimer::singleShot(random_time(longest_fault), this,
                       [&link] { link.set_fault(link_fault::none, {}); });
}

void soak_run::inject_server_fault()
{
    if (m_random.chance(0.3)) {
        record_event("servers lose answers, replicas are slow");
        m_group.set_lost_answers(0.05);
        m_group.set_replica_delay(random_time(longest_fault) / 4);
        QTimer::singleShot(random_time(longest_fault), this, [this] {
            m_group.set_lost_answers(default_lost_answers);
            m_group.set_replica_delay(default_replica_delay);
        });
        return;
    }
    const std::size_t server = m_random.chance(0.5) && m_group.primary()
                                   ? *m_group.primary()
                                   : m_random.below(group_standin::server_count);
    record_event("crash of server " + std::to_string(server));
    m_group.crash(server);
    QTimer::singleShot(random_time(longest_fault), this,
                       [this, server] { m_group.restart(server); });
}

void soak_run::request_primary_replacement()
{
    const auto primary = m_group.primary();
    if (!primary) {
        return;
    }
    record_event("server " + std::to_string(*primary) + " is to be replaced");
    m_group.set_draining(*primary, true);
    write_registrations();
    QTimer::singleShot(longest_fault, this,
                       [this, server = *primary] { m_group.set_draining(server, false); });
}

void soak_run::end_faults()
{
    // Active faults are ended by their own timers.
    wait(longest_fault);
    while (m_ended_drills < m_planned_drills) {
        wait(longest_absence);
    }
    m_daemons->resume_paused();
    record_event("the last fault is over");
}

std::uint64_t soak_run::total_reads() const
{
    std::uint64_t total = 0;
    for (const auto& client : m_clients) {
        total += client->reads_done();
    }
    return total;
}

std::uint64_t soak_run::total_writes() const
{
    std::uint64_t total = 0;
    for (const auto& client : m_clients) {
        total += client->writes_done();
    }
    return total;
}

bool soak_run::has_recovered_since(std::uint64_t reads, std::uint64_t writes) const
{
    return total_reads() >= reads + required_operations &&
           total_writes() >= writes + required_operations;
}

bool soak_run::starts_sessions(std::size_t daemon, const std::string& database)
{
    QEventLoop loop;
    QTcpSocket socket;
    adapter::server_decoder decoder;
    bool started = false;
    connect(&socket, &QTcpSocket::connected, &loop,
            [&] { socket.write(("START " + database + "\r\n").c_str()); });
    connect(&socket, &QTcpSocket::readyRead, &loop, [&] {
        const QByteArray bytes = socket.readAll();
        decoder.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
        const auto content = decoder.next();
        if (content.has_error() || content.value()) {
            started = content.has_value() && content.value()->ok();
            loop.quit();
        }
    });
    connect(&socket, &QTcpSocket::errorOccurred, &loop, &QEventLoop::quit);
    QTimer::singleShot(start_limit, &loop, &QEventLoop::quit);
    socket.connectToHost(QHostAddress::LocalHost, m_daemons->client_port(daemon));
    loop.exec();
    return started;
}

void soak_run::check_configuration()
{
    const auto await = [this](std::size_t daemon, const std::string& database,
                              std::chrono::steady_clock::time_point limit) {
        while (!starts_sessions(daemon, database)) {
            if (std::chrono::steady_clock::now() >= limit) {
                return false;
            }
            wait(std::chrono::milliseconds{50});
        }
        return true;
    };
    // A daemon that is still starting has no configuration to replace.
    const auto ready_by = std::chrono::steady_clock::now() + m_options.recovery_limit;
    for (std::size_t daemon = 0; daemon < m_daemons->size(); ++daemon) {
        if (!await(daemon, "orders", ready_by)) {
            m_oracle.violated("RECOVER: daemon " + std::to_string(daemon) + " starts no session");
            return;
        }
    }
    m_has_added_route = true;
    write_configuration();
    record_event("a configuration with one more route");
    const auto limit = std::chrono::steady_clock::now() + configuration_limit;
    for (std::size_t daemon = 0; daemon < m_daemons->size(); ++daemon) {
        if (!await(daemon, added_route, limit)) {
            m_oracle.violated("CONFIG: daemon " + std::to_string(daemon) +
                              " does not use the newest configuration");
        }
    }
}

void soak_run::run_planned_stops()
{
    m_group.set_lost_answers(0.0);
    // Waits until the effects of earlier faults have passed.
    wait(settle_time);
    m_oracle.begin_planned_stops();
    for (std::size_t count = 0; count < planned_stops; ++count) {
        const std::size_t daemon = m_random.below(m_daemons->size());
        record_event("planned stop of daemon " + std::to_string(daemon));
        m_daemons->inject(daemon, process_fault::stop, std::chrono::milliseconds{0});
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
            index + 1, derive_seed(m_options.seed, 100 + index), routes.at(index % routes.size()),
            [this] { return m_daemons->client_port(m_random.below(m_daemons->size())); },
            m_oracle));
    }
    schedule_store_drills();
    const auto end = std::chrono::steady_clock::now() + m_options.fault_time;
    while (std::chrono::steady_clock::now() < end) {
        wait(random_time(longest_pause));
        inject_random_fault();
    }
    end_faults();
    const std::uint64_t reads = total_reads();
    const std::uint64_t writes = total_writes();
    const auto limit = std::chrono::steady_clock::now() + m_options.recovery_limit;
    while (!has_recovered_since(reads, writes) && std::chrono::steady_clock::now() < limit) {
        wait(std::chrono::milliseconds{100});
    }
    if (!has_recovered_since(reads, writes)) {
        m_oracle.violated("RECOVER: " + std::to_string(total_reads() - reads) + " reads and " +
                          std::to_string(total_writes() - writes) +
                          " writes succeeded after the last fault");
    }
    check_configuration();
    run_planned_stops();
    for (const auto& client : m_clients) {
        client->stop();
    }
    wait(settle_time);
    m_oracle.check_end(m_group.primary_log());
    for (const std::string& process_exit : m_daemons->unexpected_exits()) {
        m_oracle.violated("a process ended by itself: " + process_exit);
    }
    std::vector<std::string> report = m_oracle.violations();
    if (!report.empty()) {
        report.insert(report.end(), m_events.begin(), m_events.end());
        if (!m_options.log_directory.empty()) {
            m_daemons->keep_logs(m_options.log_directory + "/seed-" +
                                 std::to_string(m_options.seed));
        }
    }
    return report;
}

} // namespace gypsumstep::soak
