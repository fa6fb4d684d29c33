// All processes are killed while the store is down; a signal about the settings as the store
// returns keeps each process from ever reading the list of daemons.
#include "client.h"
#include "fleet.h"

#include "settings_standin.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <memory>

namespace review {
namespace {

constexpr std::size_t few_daemons = 3;

/// With so few connections to each server, two of five daemons serve the sessions of all.
constexpr std::size_t forwarding_daemons = 5;
constexpr std::uint32_t few_connections = 8;

/// The processes are killed, and so start again, within 0.3 s of each other.
constexpr int longest_stagger_ms = 75;
constexpr std::size_t users_per_daemon = 6;

constexpr std::chrono::milliseconds store_down{4500};
constexpr std::chrono::milliseconds signal_after_return{40};

/// `recovery-s` of the deployment, and how long requests are counted after it.
constexpr std::chrono::milliseconds recovery{12'000};
constexpr std::chrono::milliseconds counted{6000};

/// Sends reads and writes, each in a session of its own, as a client that is routed anew each time.
struct user : QObject {
    user(std::uint16_t port, record_file& record)
        : m_client{port, fleet::database}, m_record{record}
    {
    }

    void next()
    {
        ++sent;
        m_client.start([this](bool started) {
            if (!started) {
                note("START", "no session");
                return;
            }
            const std::string id = client::next_id();
            const char* const text = sent % 3 == 0 ? "WRITE 1a4 xkqpwnzd" : "READ 1a4";
            m_client.send(id, text, [this, id](const outcome& result) {
                served += result.done ? 1 : 0;
                note(id, result.done ? "DONE" : result.is_broken ? "no answer" : result.error);
            });
        });
    }

    std::size_t sent{0};
    std::size_t served{0};

private:
    void note(const std::string& id, const std::string& text)
    {
        m_record.note("request " + id + ": " + text);
        QTimer::singleShot(100, this, [this] { next(); });
    }

    client m_client;
    record_file& m_record;
};

int run(const case_options& options, bool forwards)
{
    record_file record{options.record};
    const std::size_t daemons = forwards ? forwarding_daemons : few_daemons;
    fleet_options wanted;
    wanted.daemons = daemons;
    wanted.max_connections = forwards ? few_connections : wanted.max_connections;
    wanted.kind = gypsumstep::adapter::standins::primary_route;
    fleet deployment{options, wanted, record};
    if (!deployment.await_ready()) {
        return exit_not_run;
    }
    std::vector<std::unique_ptr<user>> users;
    for (std::size_t index = 0; index < daemons * users_per_daemon; ++index) {
        users.push_back(std::make_unique<user>(deployment.client_port(index % daemons), record));
        users.back()->next();
    }
    const auto count = [&](std::chrono::milliseconds time) {
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const auto& each : users) {
            sent -= each->sent;
            served -= each->served;
        }
        wait(time);
        for (const auto& each : users) {
            sent += each->sent;
            served += each->served;
        }
        record.note(std::to_string(served) + " of " + std::to_string(sent) +
                    " requests were served");
        return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(sent, 1));
    };
    if (count(std::chrono::seconds{4}) < 0.25) {
        return exit_not_run;
    }
    if (options.trouble) {
        record.note("the store is down");
        deployment.set_store_down(true);
        wait(std::chrono::milliseconds{500});
    }
    record.note("SIGKILL to all processes");
    for (std::size_t index = 0; index < daemons; ++index) {
        deployment.signal(index, SIGKILL);
        if (forwards) {
            wait(std::chrono::milliseconds{std::rand() % longest_stagger_ms});
        }
    }
    if (options.trouble) {
        wait(store_down - std::chrono::milliseconds{500});
        record.note("the store is back");
        deployment.set_store_down(false);
    }
    if (options.trouble && !forwards) {
        wait(signal_after_return);
        record.note("the settings files change, SIGHUP to all processes");
        for (std::size_t index = 0; index < daemons; ++index) {
            deployment.change_settings(index);
            deployment.signal(index, SIGHUP);
        }
    }
    wait(recovery);
    const double share = count(counted);
    for (std::size_t index = 0; index < daemons; ++index) {
        record.note("front-" + std::to_string(index) +
                    (deployment.is_ready(index) ? " is ready" : " isn't ready"));
    }
    if (share < 0.25) {
        record.note("RECOVER: less than a quarter is served, 12 s after the machines are back");
        return exit_broken;
    }
    return exit_held;
}

} // namespace

int run_restart(const case_options& options)
{
    return run(options, false);
}

int run_restart_forwarded(const case_options& options)
{
    return run(options, true);
}

} // namespace review
