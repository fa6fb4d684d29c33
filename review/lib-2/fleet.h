/// \file
/// A small deployment on the loopback interface: the store, one database group and daemons, which
/// are processes of their own.
#pragma once

#include "late_calls.h"
#include "sim_group.h"
#include "store_standin.h"

#include <QProcess>
#include <QTemporaryDir>
#include <QTimer>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// Exit codes of a case.
inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/// What a case is started with.
struct case_options {
    std::string program; ///< the daemon
    std::string record;  ///< path of the file that says what was sent, answered and run
    bool trouble{true};  ///< false: the same without the disruption
};

/// Writes lines with the time since its start.
class record_file {
public:
    explicit record_file(const std::string& path) : m_file{path, std::ios::trunc} {}
    void note(const std::string& text);
    [[nodiscard]] std::int64_t now_ms() const;

private:
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_start{std::chrono::steady_clock::now()};
};

struct fleet_options {
    std::size_t daemons{2};
    group_options group;
    std::string kind; ///< type of the only route
    std::uint32_t timeout_ms{1000};
    std::uint32_t max_connections{33}; ///< of each server
    std::uint64_t memory_mb{260};
    /// See late_calls.
    std::function<std::optional<std::chrono::milliseconds>()> late_orders;
    std::function<void(const std::string&, const std::set<std::string>&)> promoted;
};

class fleet : public QObject {
public:
    static constexpr const char* database = "orders";

    fleet(const case_options& options, fleet_options wanted, record_file& record);
    ~fleet() override;

    [[nodiscard]] sim_group& group() { return *m_group; }
    [[nodiscard]] std::uint16_t client_port(std::size_t daemon) const;
    [[nodiscard]] qint64 process_id(std::size_t daemon) const;
    /// How often the processes of a daemon ended although nobody ended them.
    [[nodiscard]] std::size_t ends(std::size_t daemon) const { return m_daemons.at(daemon)->ends; }
    void signal(std::size_t daemon, int number);

    /// While the store is down, it refuses each call, and the servers' rows stay as they are.
    void set_store_down(bool down);

    /// Changes the settings file of a daemon in a field that it ignores.
    void change_settings(std::size_t daemon);

    /// Whether a daemon answers that it is ready.
    [[nodiscard]] bool is_ready(std::size_t daemon) const;

    /// Kills a daemon that exceeds its memory, as its machine does; it starts again.
    void kill_over_limit(std::size_t daemon);

    /// Resident memory of a daemon in MB; 0 if it does not run.
    [[nodiscard]] std::uint64_t memory_mb(std::size_t daemon) const;

    /// Waits until all daemons are ready; false if one isn't within 20 s.
    [[nodiscard]] bool await_ready();

private:
    struct daemon {
        std::string settings;
        QProcess process;
        std::size_t ends{0};
        bool end_expected{false};
    };

    void start(daemon& target);
    void write_registrations();

    case_options m_case;
    fleet_options m_options;
    record_file& m_record;
    QTemporaryDir m_directory;
    std::unique_ptr<sim_group> m_group;
    std::unique_ptr<gypsumstep::adapter::standins::store_standin> m_store;
    std::unique_ptr<late_calls> m_orders;
    std::vector<std::unique_ptr<daemon>> m_daemons;
    std::uint16_t m_first_port{0};
    QTimer m_registration_timer;
    bool m_store_down{false};
    bool m_ending{false};
};

/// Lets the event loop run for a while.
void wait(std::chrono::milliseconds time);

/// Lets the event loop run until \p done returns true; false if it doesn't within \p limit.
[[nodiscard]] bool wait_until(const std::function<bool()>& done, std::chrono::milliseconds limit);

int run_late_order(const case_options& options);
int run_large_answer(const case_options& options);
int run_memory(const case_options& options);
int run_restart(const case_options& options);
int run_restart_forwarded(const case_options& options);
int run_answers(const case_options& options);

} // namespace review
