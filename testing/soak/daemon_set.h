/// \file
/// The daemons of a run as processes of their own, and signals to them.
#pragma once

#include <QProcess>
#include <QTemporaryDir>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gypsumstep::soak {

/// What happens to a daemon's process.
enum class process_fault : std::uint8_t { kill, stop, pause };

/// Starts and ends daemons; touches no other process.
class daemon_set : public QObject {
public:
    /// \param program path of gypsumstep-edge
    /// \param first_port each daemon takes four ports of a free block from there on
    daemon_set(std::string program, std::size_t count, std::uint16_t first_port,
               std::uint16_t store_port);
    ~daemon_set() override;
    daemon_set(const daemon_set&) = delete;
    daemon_set& operator=(const daemon_set&) = delete;

    [[nodiscard]] std::size_t size() const { return m_daemons.size(); }
    [[nodiscard]] std::uint16_t client_port(std::size_t index) const;

    /// Applies a fault; a daemon that ended starts again after \p rest, a paused one goes on.
    void harm(std::size_t index, process_fault fault, std::chrono::milliseconds rest);

    /// Lets every process run again; no further faults.
    void heal();

    /// Copies the daemons' logs into a folder that is made.
    void keep_logs(const std::string& folder) const;

    /// Ends that no fault of this set caused.
    [[nodiscard]] const std::vector<std::string>& unexpected_ends() const
    {
        return m_unexpected_ends;
    }

private:
    struct daemon {
        std::string name;
        std::string settings_file;
        QProcess process;
        bool end_expected{false};
        bool paused{false};
        std::chrono::milliseconds rest{0};
    };

    void start(daemon& which);
    void signal(daemon& to, int number);
    void on_finished(daemon& which, int code, bool crashed);

    std::string m_program;
    std::uint16_t m_first_port;
    QTemporaryDir m_directory;
    std::vector<std::unique_ptr<daemon>> m_daemons;
    std::vector<std::string> m_unexpected_ends;
    bool m_ending{false};
};

} // namespace gypsumstep::soak
