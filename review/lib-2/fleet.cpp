#include "fleet.h"

#include "gypsumstep/adapter/node_settings.h"
#include "settings_standin.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QHostAddress>
#include <QProcessEnvironment>
#include <QTcpServer>
#include <QTcpSocket>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include <sys/prctl.h>
#include <unistd.h>

namespace review {
namespace {

using namespace gypsumstep::adapter::standins;

constexpr std::uint16_t ports_per_daemon = 5;
constexpr std::chrono::milliseconds registration_interval{500};
constexpr std::chrono::milliseconds restart_delay{300};

void replace(std::string& text, const std::string& from, const std::string& to)
{
    if (const std::size_t place = text.find(from); place != std::string::npos) {
        text.replace(place, from.size(), to);
    }
}

std::uint16_t find_ports(std::size_t count)
{
    const auto offset = static_cast<std::uint16_t>(QCoreApplication::applicationPid() % 700);
    for (std::uint16_t attempt = 0; attempt < 700; ++attempt) {
        const auto first = static_cast<std::uint16_t>(12'000 + (offset + attempt) % 700 * 20);
        std::size_t free = 0;
        for (; free < count; ++free) {
            QTcpServer probe;
            if (!probe.listen(QHostAddress::LocalHost, static_cast<quint16>(first + free))) {
                break;
            }
        }
        if (free == count) {
            return first;
        }
    }
    return 0;
}

/// Lines of the settings file of a small deployment that the stand-in's text lacks or has
/// otherwise.
std::string further_settings(std::uint64_t memory_mb, std::uint16_t orders_port)
{
    return "limits.cpu-share=0.25\nlimits.memory-mb=" + std::to_string(memory_mb) +
           "\nlimits.max-fds=4300\nlimits.link-mbps=1000.0\n"
           "contracts=base,drain,config,cost,recover,sql,platform\n"
           "bounds.grace-s=6\nbounds.loss-slack-ms=200\nbounds.config-apply-ms=4000\n"
           "bounds.recovery-s=12\nbounds.enforce-fencing=true\n"
           "cloud.address=127.0.0.1:" +
           std::to_string(orders_port) + "\n";
}

} // namespace

void record_file::note(const std::string& text)
{
    m_file << now_ms() << " ms  " << text << std::endl;
}

std::int64_t record_file::now_ms() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 m_start)
        .count();
}

void wait(std::chrono::milliseconds time)
{
    QEventLoop loop;
    QTimer::singleShot(time, &loop, &QEventLoop::quit);
    loop.exec();
}

bool wait_until(const std::function<bool()>& done, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        wait(std::chrono::milliseconds{5});
    }
    return true;
}

fleet::fleet(const case_options& options, fleet_options wanted, record_file& record)
    : m_case{options}, m_options{std::move(wanted)}, m_record{record}
{
    const auto note = [this](const std::string& text) { m_record.note(text); };
    m_group = std::make_unique<sim_group>(
        m_options.group,
        group_events{note,
                     [this](const std::string& server, const std::set<std::string>& log) {
                         m_record.note(server +
                                       " leads; writes in its log: " + std::to_string(log.size()));
                         // A change of role is reported at once.
                         write_registrations();
                         if (m_options.promoted) {
                             m_options.promoted(server, log);
                         }
                     },
                     [this](const std::string& server, const std::string& id) {
                         m_record.note(server + " ran " + id);
                     }});
    m_store = std::make_unique<store_standin>(
        [this](const promotion_order& order) {
            m_record.note("the platform carries out the promotion of " + order.target + " by " +
                          order.holder + " with fence number " + std::to_string(order.token));
            return m_group->promote(order.target);
        },
        note);
    const std::uint16_t store_port = m_store->listen();
    m_orders = std::make_unique<late_calls>(
        store_port,
        [this] {
            return m_options.late_orders ? m_options.late_orders()
                                         : std::optional<std::chrono::milliseconds>{};
        },
        note);
    const std::uint16_t orders_port = m_orders->listen();
    std::string configuration = configuration_text(
        7, m_options.group.service, {{database, m_options.kind}}, 1500, m_options.timeout_ms);
    replace(configuration, "-replicas\":0",
            "-replicas\":" + std::to_string(m_options.group.sync_replicas));
    replace(configuration, "max-connections\":33",
            "max-connections\":" + std::to_string(m_options.max_connections));
    m_store->put(operator_table, configuration_key, configuration);
    connect(&m_registration_timer, &QTimer::timeout, this, [this] { write_registrations(); });
    m_registration_timer.start(registration_interval);
    write_registrations();
    m_first_port = find_ports(m_options.daemons * ports_per_daemon);
    for (std::size_t index = 0; index < m_options.daemons; ++index) {
        auto created = std::make_unique<daemon>();
        const std::string name = "front-" + std::to_string(index);
        created->settings = m_directory.filePath(QString::fromStdString(name)).toStdString();
        std::ofstream{created->settings}
            << settings_text(name, index, client_port(index), store_port)
            << further_settings(m_options.memory_mb, orders_port);
        daemon* const target = created.get();
        connect(&target->process, &QProcess::finished, this, [this, target, name] {
            if (m_ending) {
                return;
            }
            m_record.note("the process of " + name + " ended");
            target->ends += target->end_expected ? 0 : 1;
            target->end_expected = false;
            QTimer::singleShot(restart_delay, this, [this, target] { start(*target); });
        });
        start(*target);
        m_daemons.push_back(std::move(created));
    }
}

fleet::~fleet()
{
    m_ending = true;
    for (const auto& each : m_daemons) {
        each->process.kill();
        each->process.waitForFinished();
    }
}

std::uint16_t fleet::client_port(std::size_t index) const
{
    return static_cast<std::uint16_t>(m_first_port + index * ports_per_daemon);
}

qint64 fleet::process_id(std::size_t index) const
{
    return m_daemons.at(index)->process.processId();
}

void fleet::start(daemon& target)
{
    QProcessEnvironment environment = QProcessEnvironment::systemEnvironment();
    environment.insert(gypsumstep::adapter::settings_variable,
                       QString::fromStdString(target.settings));
    target.process.setProcessEnvironment(environment);
    const QString log = QString::fromStdString(target.settings + ".log");
    target.process.setStandardOutputFile(log, QIODevice::Append);
    target.process.setStandardErrorFile(log, QIODevice::Append);
    target.process.setChildProcessModifier([] { (void)::prctl(PR_SET_PDEATHSIG, SIGKILL); });
    target.process.start(QString::fromStdString(m_case.program), QStringList{});
}

void fleet::signal(std::size_t index, int number)
{
    daemon& target = *m_daemons.at(index);
    if (target.process.state() == QProcess::Running) {
        target.end_expected = number == SIGTERM || number == SIGKILL;
        ::kill(static_cast<pid_t>(target.process.processId()), number);
    }
}

void fleet::kill_over_limit(std::size_t index)
{
    daemon& target = *m_daemons.at(index);
    if (target.process.state() == QProcess::Running) {
        ::kill(static_cast<pid_t>(target.process.processId()), SIGKILL);
    }
}

std::uint64_t fleet::memory_mb(std::size_t index) const
{
    std::ifstream file{"/proc/" + std::to_string(process_id(index)) + "/statm"};
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) >> 20U;
}

void fleet::set_store_down(bool down)
{
    m_store_down = down;
    m_store->set_trouble(down ? store_trouble::refusing : store_trouble::none);
}

void fleet::change_settings(std::size_t index)
{
    std::ofstream{m_daemons.at(index)->settings, std::ios::app} << "limits.disk-mb=1\n";
}

bool fleet::is_ready(std::size_t index) const
{
    QTcpSocket socket;
    bool answered = false;
    QEventLoop loop;
    connect(&socket, &QTcpSocket::connected, &loop,
            [&] { socket.write("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n"); });
    connect(&socket, &QTcpSocket::readyRead, &loop, [&] {
        answered = socket.readAll().startsWith("HTTP/1.1 200");
        loop.quit();
    });
    connect(&socket, &QTcpSocket::errorOccurred, &loop, &QEventLoop::quit);
    QTimer::singleShot(200, &loop, &QEventLoop::quit);
    socket.connectToHost(QHostAddress::LocalHost, static_cast<quint16>(client_port(index) + 1));
    loop.exec();
    return answered;
}

bool fleet::await_ready()
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        if (!wait_until([&] { return is_ready(index); }, std::chrono::seconds{20})) {
            m_record.note("a daemon is not ready");
            return false;
        }
    }
    // Until each daemon knows the others and has connections to the servers.
    wait(std::chrono::seconds{4});
    return true;
}

void fleet::write_registrations()
{
    if (m_store_down) {
        return;
    }
    for (std::size_t index = 0; index < sim_group::server_count; ++index) {
        std::string text =
            registration_text("127.0.0.1:" + std::to_string(m_group->port_of(index)), "5", false);
        if (!m_group->is_primary(index)) {
            replace(text, ":\"primary\"", ":\"replica\"");
        }
        replace(text, "domain-a", std::string{"domain-"} + static_cast<char>('a' + index));
        m_store->put(server_table, m_group->name_of(index), text);
    }
}

} // namespace review
