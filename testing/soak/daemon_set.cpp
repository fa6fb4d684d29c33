#include "daemon_set.h"

#include "settings_standin.h"

#include <QCoreApplication>
#include <QDir>
#include <QFile>
#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>

#include <csignal>
#include <utility>

#include <sys/prctl.h>

namespace gypsumstep::soak {
namespace {

/// Ports of one daemon: clients, readiness, metrics, sessions of other daemons.
constexpr std::uint16_t ports_each = 4;

/// Before an ended daemon starts again.
constexpr std::chrono::milliseconds restart_pause{100};

/// Blocks of ports that are tried before the soak gives up.
constexpr std::size_t most_blocks = 200;

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

/// The first free block of ports. Processes begin their search at different places, so that
/// two soaks that start together do not take the same one.
std::uint16_t find_ports(std::uint16_t first, std::size_t count)
{
    const auto begin = static_cast<std::size_t>(QCoreApplication::applicationPid());
    for (std::size_t tried = 0; tried < most_blocks; ++tried) {
        const auto block =
            static_cast<std::uint16_t>(first + (begin + tried) % most_blocks * count);
        if (is_free(block, count)) {
            return block;
        }
    }
    return first;
}

} // namespace

daemon_set::daemon_set(std::string program, std::size_t count, std::uint16_t first_port,
                       std::uint16_t store_port)
    : m_program{std::move(program)}, m_first_port{find_ports(first_port, count * ports_each)}
{
    for (std::size_t index = 0; index < count; ++index) {
        auto made = std::make_unique<daemon>();
        made->name = "daemon-" + std::to_string(index);
        made->settings_file =
            m_directory.filePath(QString::fromStdString(made->name)).toStdString();
        const auto port = client_port(index);
        QFile file{QString::fromStdString(made->settings_file)};
        if (file.open(QIODevice::WriteOnly)) {
            file.write(
                adapter::standins::settings_text(made->name, index, port, store_port).c_str());
        }
        daemon* const which = made.get();
        connect(&which->process, &QProcess::finished, this,
                [this, which](int code, QProcess::ExitStatus status) {
                    on_finished(*which, code, status == QProcess::CrashExit);
                });
        start(*which);
        m_daemons.push_back(std::move(made));
    }
}

daemon_set::~daemon_set()
{
    m_ending = true;
    for (const auto& each : m_daemons) {
        each->process.kill();
        each->process.waitForFinished();
    }
}

std::uint16_t daemon_set::client_port(std::size_t index) const
{
    return static_cast<std::uint16_t>(m_first_port + index * ports_each);
}

void daemon_set::start(daemon& which)
{
    which.end_expected = false;
    which.paused = false;
    const QString log = QString::fromStdString(which.settings_file + ".log");
    which.process.setStandardOutputFile(log, QIODevice::Append);
    which.process.setStandardErrorFile(log, QIODevice::Append);
    // No daemon outlives a soak that was ended.
    which.process.setChildProcessModifier([] { (void)::prctl(PR_SET_PDEATHSIG, SIGKILL); });
    which.process.start(QString::fromStdString(m_program),
                        {"--settings=" + QString::fromStdString(which.settings_file)});
}

void daemon_set::signal(daemon& to, int number)
{
    if (const qint64 id = to.process.processId(); id > 0) {
        ::kill(static_cast<pid_t>(id), number);
    }
}

void daemon_set::harm(std::size_t index, process_fault fault, std::chrono::milliseconds rest)
{
    daemon& which = *m_daemons.at(index);
    if (which.process.state() != QProcess::Running) {
        return;
    }
    which.rest = rest;
    switch (fault) {
    case process_fault::kill:
        which.end_expected = true;
        signal(which, SIGKILL);
        break;
    case process_fault::stop:
        which.end_expected = true;
        signal(which, SIGTERM);
        break;
    case process_fault::pause:
        which.paused = true;
        signal(which, SIGSTOP);
        QTimer::singleShot(rest, this, [this, &which] {
            which.paused = false;
            signal(which, SIGCONT);
        });
        break;
    }
}

void daemon_set::on_finished(daemon& which, int code, bool crashed)
{
    if (m_ending) {
        return;
    }
    if (!which.end_expected) {
        m_unexpected_ends.push_back(which.name +
                                    (crashed ? " was ended by signal " : " ended with ") +
                                    std::to_string(code));
    }
    QTimer::singleShot(which.rest + restart_pause, this, [this, &which] { start(which); });
}

void daemon_set::keep_logs(const std::string& folder) const
{
    const QString target = QString::fromStdString(folder);
    QDir{}.mkpath(target);
    for (const auto& each : m_daemons) {
        QFile::copy(QString::fromStdString(each->settings_file + ".log"),
                    target + '/' + QString::fromStdString(each->name) + ".log");
    }
}

void daemon_set::heal()
{
    for (const auto& each : m_daemons) {
        if (each->paused) {
            signal(*each, SIGCONT);
        }
    }
}

} // namespace gypsumstep::soak
