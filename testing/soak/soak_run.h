/// \file
/// One seeded run: daemons, stand-ins, clients and random faults.
#pragma once

#include "daemon_set.h"
#include "fault_proxy.h"
#include "group_standin.h"
#include "oracle.h"
#include "soak_client.h"
#include "store_standin.h"

#include <QTimer>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gypsumstep::soak {

/// Options of a run.
struct run_options {
    std::string program; ///< path of gypsumstep-edge
    std::uint64_t seed{1};
    std::size_t daemons{5};
    std::size_t clients{20};
    std::uint16_t first_port{21'000};
    std::chrono::milliseconds fault_time{8000};
    /// Time after the last fault within which reads and writes have to succeed again.
    std::chrono::milliseconds recovery_limit{12'000};
    std::string log_directory; ///< the daemons' logs are kept there if a guarantee was violated

    friend bool operator==(const run_options&, const run_options&) = default;
};

/// Runs the soak for one seed.
class soak_run : public QObject {
public:
    explicit soak_run(run_options options);

    /// Injects faults, ends them, waits for recovery, stops daemons as planned and checks the
    /// guarantees.
    /// \return the violated guarantees, followed by the run's faults; empty if all held
    [[nodiscard]] std::vector<std::string> play();

    [[nodiscard]] std::string counts() const
    {
        return m_oracle.counts() + "; " + std::to_string(m_ended_drills) + " store drills";
    }

private:
    void write_configuration();
    /// Writes rows to the servers' and the daemons' tables that name nothing to use.
    void write_odd_entries();
    void write_registrations();
    void inject_random_fault();
    void inject_store_fault();
    /// Plans the drills of the run: the store takes a copy, is away, and comes back from the copy.
    void schedule_store_drills();
    void begin_store_drill();
    void end_store_drill();
    void inject_server_fault();
    void inject_link_fault(fault_proxy& link, const std::string& name);
    void request_primary_replacement();
    void end_faults();
    /// Adds a route and checks that each daemon starts sessions on it in time.
    void check_configuration();
    [[nodiscard]] bool starts_sessions(std::size_t daemon, const std::string& database);
    void run_planned_stops();
    void wait(std::chrono::milliseconds time);
    [[nodiscard]] bool has_recovered_since(std::uint64_t reads, std::uint64_t writes) const;
    [[nodiscard]] std::uint64_t total_reads() const;
    [[nodiscard]] std::uint64_t total_writes() const;
    std::chrono::milliseconds random_time(std::chrono::milliseconds longest);
    void record_event(const std::string& event);

    run_options m_options;
    random_source m_random;
    random_source m_drill_random; ///< apart, so that the other faults of a seed stay the same
    oracle m_oracle;
    adapter::standins::group_standin m_group;
    bool m_tells_era; ///< the store tells its era, and goes back
    adapter::standins::store_standin m_store;
    std::unique_ptr<fault_proxy> m_store_link;
    std::array<std::unique_ptr<fault_proxy>, adapter::standins::group_standin::server_count>
        m_server_links;
    std::array<std::uint16_t, adapter::standins::group_standin::server_count> m_server_ports{};
    std::unique_ptr<daemon_set> m_daemons;
    std::vector<std::unique_ptr<soak_client>> m_clients;
    QTimer m_registration_timer;
    std::uint64_t m_configuration_version{1};
    std::string m_configuration; ///< the operator's newest
    bool m_has_added_route{false};
    std::size_t m_planned_drills{0};
    std::size_t m_ended_drills{0};
    std::vector<std::string> m_events;
    std::chrono::steady_clock::time_point m_started_at{std::chrono::steady_clock::now()};
};

} // namespace gypsumstep::soak
