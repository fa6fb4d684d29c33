/// \file
/// Runs the daemons of a soak run as processes and injects process faults by signals.
#pragma once

#include <QProcess>
#include <QTemporaryDir>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gypsumstep::soak {

/// A fault that is injected into a daemon's process: SIGKILL, SIGTERM or SIGSTOP.
enum class process_fault : std::uint8_t { kill, stop, pause };

/// What the daemons' processes get beyond the usual.
struct daemon_options {
    std::string extra_settings;       ///< lines appended to each settings file
    std::uint64_t max_descriptors{0}; ///< limit that the kernel enforces; 0 for the inherited one
};

/// Starts and ends daemons. Signals no other process.
class daemon_set : public QObject {
public:
    /// \param program path of gypsumstep-edge
    /// \param first_port start of the search for a free block of ports; each daemon takes five
    daemon_set(std::string program, std::size_t count, std::uint16_t first_port,
               std::uint16_t store_port, daemon_options options = {});
    ~daemon_set() override;
    daemon_set(const daemon_set&) = delete;
    daemon_set& operator=(const daemon_set&) = delete;

    [[nodiscard]] std::size_t size() const { return m_daemons.size(); }
    /// The port for clients. Those for readiness, metrics, forwarded sessions and the relay follow.
    [[nodiscard]] std::uint16_t client_port(std::size_t index) const;

    /// The id of a daemon's process; 0 while it does not run.
    [[nodiscard]] qint64 process_id(std::size_t index) const
    {
        return m_daemons.at(index)->process.processId();
    }

    /// Injects a fault into a running daemon. After \p downtime a daemon that ended is started
    /// again and a paused one continues.
    void inject(std::size_t index, process_fault fault, std::chrono::milliseconds downtime);

    /// Continues every paused process.
    void resume_paused();

    /// Copies the daemons' logs into a folder, which is created if it does not exist.
    void keep_logs(const std::string& folder) const;

    /// Descriptions of process ends that no injected fault caused.
    [[nodiscard]] const std::vector<std::string>& unexpected_exits() const
    {
        return m_unexpected_exits;
    }

private:
    struct daemon {
        std::string name;
        std::string settings_file;
        QProcess process;
        bool exit_expected{false};
        bool paused{false};
        std::chrono::milliseconds downtime{0};
    };

    void start(daemon& target);
    void signal(daemon& target, int signal_number);
    void on_finished(daemon& target, int code, bool crashed);

    std::string m_program;
    daemon_options m_options;
    std::uint16_t m_first_port;
    QTemporaryDir m_directory;
    std::vector<std::unique_ptr<daemon>> m_daemons;
    std::vector<std::string> m_unexpected_exits;
    bool m_shutting_down{false};
};

} // namespace gypsumstep::soak
