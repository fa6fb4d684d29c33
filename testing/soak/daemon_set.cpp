#include "daemon_set.h"

#include "settings_standin.h"

#include <QCoreApplication>
#include <QDir>
#include <QHostAddress>
#include <QSaveFile>
#include <QTcpServer>
#include <QTimer>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <utility>

#include <sys/prctl.h>
#include <sys/resource.h>

namespace gypsumstep::soak {
namespace {

/// Each daemon listens for clients, readiness probes, metrics scrapes, and other daemons that
/// forward sessions or take the store's contents from it.
constexpr std::uint16_t ports_per_daemon = 5;

/// Additional delay before a daemon that ended is started again.
constexpr std::chrono::milliseconds restart_delay{100};

/// Number of port blocks that are tried before the search for a free one gives up.
constexpr std::size_t max_port_blocks = 200;

bool is_free(std::uint16_t first, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        QTcpServer probe;
        if (!probe.listen(QHostAddress::LocalHost, static_cast<quint16>(first + index))) {
            return false;
        }
    }
    return true;
}

/// The first port of a free block; \p first if none is free. The search starts at an offset
/// taken from the process id, so that two soaks that start together do not take the same block.
std::uint16_t find_ports(std::uint16_t first, std::size_t count)
{
    const auto offset = static_cast<std::size_t>(QCoreApplication::applicationPid());
    for (std::size_t attempt = 0; attempt < max_port_blocks; ++attempt) {
        const auto block =
            static_cast<std::uint16_t>(first + (offset + attempt) % max_port_blocks * count);
        if (is_free(block, count)) {
            return block;
        }
    }
    return first;
}

/// Writes a file that appears under its name only once it is complete, since a daemon may read
/// it at any time.
void write_file(const std::string& path, const std::string& content)
{
    QSaveFile file{QString::fromStdString(path)};
    const bool written = file.open(QIODevice::WriteOnly) &&
                         file.write(content.data(), static_cast<qint64>(content.size())) ==
                             static_cast<qint64>(content.size()) &&
                         file.commit();
    if (!written) {
        std::cerr << "cannot write " << path << ": " << file.errorString().toStdString() << '\n';
        std::exit(EXIT_FAILURE);
    }
}

} // namespace

daemon_set::daemon_set(std::string program, std::size_t count, std::uint16_t first_port,
                       std::uint16_t store_port, daemon_options options)
    : m_program{std::move(program)}, m_options{std::move(options)},
      m_first_port{find_ports(first_port, count * ports_per_daemon)}
{
    for (std::size_t index = 0; index < count; ++index) {
        auto created = std::make_unique<daemon>();
        created->name = "daemon-" + std::to_string(index);
        created->settings_file =
            m_directory.filePath(QString::fromStdString(created->name)).toStdString();
        const auto port = client_port(index);
        write_file(created->settings_file,
                   adapter::standins::settings_text(created->name, index, port, store_port) +
                       m_options.extra_settings);
        daemon* const target = created.get();
        connect(&target->process, &QProcess::finished, this,
                [this, target](int code, QProcess::ExitStatus status) {
                    on_finished(*target, code, status == QProcess::CrashExit);
                });
        start(*target);
        m_daemons.push_back(std::move(created));
    }
}

daemon_set::~daemon_set()
{
    m_shutting_down = true;
    for (const auto& entry : m_daemons) {
        entry->process.kill();
        entry->process.waitForFinished();
    }
}

std::uint16_t daemon_set::client_port(std::size_t index) const
{
    return static_cast<std::uint16_t>(m_first_port + index * ports_per_daemon);
}

void daemon_set::start(daemon& target)
{
    target.exit_expected = false;
    target.paused = false;
    const QString log = QString::fromStdString(target.settings_file + ".log");
    target.process.setStandardOutputFile(log, QIODevice::Append);
    target.process.setStandardErrorFile(log, QIODevice::Append);
    // The kernel kills the daemon when the soak process ends, so that none is left running.
    target.process.setChildProcessModifier([limit = m_options.max_descriptors] {
        (void)::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (limit != 0) {
            const rlimit wanted{limit, limit};
            (void)::setrlimit(RLIMIT_NOFILE, &wanted);
        }
    });
    target.process.start(QString::fromStdString(m_program),
                         {"--settings=" + QString::fromStdString(target.settings_file)});
}

void daemon_set::signal(daemon& target, int signal_number)
{
    if (const qint64 id = target.process.processId(); id > 0) {
        ::kill(static_cast<pid_t>(id), signal_number);
    }
}

void daemon_set::inject(std::size_t index, process_fault fault, std::chrono::milliseconds downtime)
{
    daemon& target = *m_daemons.at(index);
    if (target.process.state() != QProcess::Running) {
        return;
    }
    target.downtime = downtime;
    switch (fault) {
    case process_fault::kill:
        target.exit_expected = true;
        signal(target, SIGKILL);
        break;
    case process_fault::stop:
        target.exit_expected = true;
        signal(target, SIGTERM);
        break;
    case process_fault::pause:
        target.paused = true;
        signal(target, SIGSTOP);
        QTimer::singleShot(downtime, this, [this, &target] {
            target.paused = false;
            signal(target, SIGCONT);
        });
        break;
    }
}

void daemon_set::on_finished(daemon& target, int code, bool crashed)
{
    if (m_shutting_down) {
        return;
    }
    if (!target.exit_expected) {
        m_unexpected_exits.push_back(target.name +
                                     (crashed ? " was ended by signal " : " ended with ") +
                                     std::to_string(code));
    }
    QTimer::singleShot(target.downtime + restart_delay, this, [this, &target] { start(target); });
}

void daemon_set::keep_logs(const std::string& folder) const
{
    const QString destination = QString::fromStdString(folder);
    QDir{}.mkpath(destination);
    for (const auto& entry : m_daemons) {
        QFile::copy(QString::fromStdString(entry->settings_file + ".log"),
                    destination + '/' + QString::fromStdString(entry->name) + ".log");
    }
}

void daemon_set::resume_paused()
{
    for (const auto& entry : m_daemons) {
        if (entry->paused) {
            signal(*entry, SIGCONT);
        }
    }
}

} // namespace gypsumstep::soak
