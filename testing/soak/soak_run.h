/// \file
/// One seeded run: daemons, stand-ins, clients and a schedule of faults.
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

/// What a run is made of.
struct run_options {
    std::string program; ///< path of gypsumstep-edge
    std::uint64_t seed{1};
    std::size_t daemons{5};
    std::size_t clients{20};
    std::uint16_t first_port{21'000};
    std::chrono::milliseconds fault_time{8000};
    /// From the last fault until reads and writes have to succeed again.
    std::chrono::milliseconds recovery_limit{12'000};
    std::string log_directory; ///< where the daemons' logs are kept if a promise was broken

    friend bool operator==(const run_options&, const run_options&) = default;
};

/// Plays one seed.
class soak_run : public QObject {
public:
    explicit soak_run(run_options chosen);

    /// Runs faults, heals everything, waits for service and checks the promises.
    /// \return the broken promises, with the faults that came before them
    [[nodiscard]] std::vector<std::string> play();

    [[nodiscard]] std::string counts() const { return m_oracle.counts(); }

private:
    void write_configuration();
    void write_registrations();
    void harm_something();
    void harm_store();
    void harm_server();
    void harm_link(fault_proxy& link, const std::string& name);
    void replace_primary();
    void heal();
    void stop_as_planned();
    void wait(std::chrono::milliseconds time);
    [[nodiscard]] bool served_since(std::uint64_t reads, std::uint64_t writes) const;
    [[nodiscard]] std::uint64_t total_reads() const;
    [[nodiscard]] std::uint64_t total_writes() const;
    std::chrono::milliseconds some_time(std::chrono::milliseconds most);
    void note(const std::string& fault);

    run_options m_options;
    random_source m_random;
    oracle m_oracle;
    adapter::standins::group_standin m_group;
    adapter::standins::store_standin m_store;
    std::unique_ptr<fault_proxy> m_store_link;
    std::array<std::unique_ptr<fault_proxy>, adapter::standins::group_standin::server_count>
        m_server_links;
    std::array<std::uint16_t, adapter::standins::group_standin::server_count> m_server_ports{};
    std::unique_ptr<daemon_set> m_daemons;
    std::vector<std::unique_ptr<soak_client>> m_clients;
    QTimer m_registrations;
    std::uint64_t m_configuration{1};
    std::vector<std::string> m_faults;
    std::chrono::steady_clock::time_point m_began{std::chrono::steady_clock::now()};
};

} // namespace gypsumstep::soak
