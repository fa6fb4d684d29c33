// Clients that prepare ever new statements of legal size run the processes out of memory.
#include "client.h"
#include "fleet.h"

#include "settings_standin.h"

#include <algorithm>
#include <csignal>

namespace review {
namespace {

constexpr std::size_t daemons = 2;

/// Size of a statement's text; a message is at most 1 MiB.
constexpr std::size_t text_bytes = 900'000;

/// Statements that each daemon gets in a calm run: half of what its memory would hold.
constexpr std::size_t ordinary_statements = 40;

constexpr std::size_t wanted_ends = 3;
constexpr std::chrono::milliseconds longest_run{85'000};

/// Prepares a statement, executes it and closes it, again and again, one after the other.
struct preparer : QObject {
    preparer(std::uint16_t port, bool is_ordinary)
        : m_client{port, fleet::database}, m_is_ordinary{is_ordinary}
    {
    }

    void next()
    {
        if (!m_client.is_open()) {
            m_client.start([this](bool) { QTimer::singleShot(50, this, [this] { next(); }); });
            return;
        }
        const std::string id = client::next_id();
        // An ordinary client prepares the same statement each time.
        const std::string text =
            (m_is_ordinary ? std::string{"q"} : "q" + id) + std::string(text_bytes, 'x');
        m_client.send(id, "PREPARE s1 READ " + text, [this](const outcome& result) {
            if (!result.done) {
                retry();
                return;
            }
            m_client.send(client::next_id(), "EXECUTE s1 1a4", [this](const outcome& ran) {
                served += ran.done ? 1 : 0;
                m_client.send(client::next_id(), "CLOSE s1",
                              [this](const outcome& closed) { closed.done ? next() : retry(); });
            });
        });
    }

    std::size_t served{0};

private:
    void retry()
    {
        m_client.drop();
        QTimer::singleShot(100, this, [this] { next(); });
    }

    client m_client;
    bool m_is_ordinary;
};

} // namespace

int run_memory(const case_options& options)
{
    record_file record{options.record};
    fleet_options wanted;
    wanted.kind = gypsumstep::adapter::standins::bounded_route;
    wanted.timeout_ms = 3000;
    fleet deployment{options, wanted, record};
    if (!deployment.await_ready()) {
        return exit_not_run;
    }
    std::vector<std::unique_ptr<preparer>> clients;
    for (std::size_t index = 0; index < daemons; ++index) {
        record.note("memory of front-" + std::to_string(index) +
                    " before: " + std::to_string(deployment.memory_mb(index)) + " MB");
        clients.push_back(
            std::make_unique<preparer>(deployment.client_port(index), !options.trouble));
        clients.back()->next();
    }
    const auto broken = [&] {
        return std::all_of(clients.begin(), clients.end(), [&](const auto& each) {
            return deployment.ends(static_cast<std::size_t>(
                       std::find(clients.begin(), clients.end(), each) - clients.begin())) >=
                   wanted_ends;
        });
    };
    const auto end = record.now_ms() + longest_run.count();
    std::vector<std::uint64_t> most(daemons);
    std::int64_t noted_at = 0;
    while (record.now_ms() < end && !broken()) {
        wait(std::chrono::milliseconds{20});
        for (std::size_t index = 0; index < daemons; ++index) {
            const std::uint64_t memory = deployment.memory_mb(index);
            most[index] = std::max(most[index], memory);
            if (memory > wanted.memory_mb) {
                record.note("front-" + std::to_string(index) + " holds " + std::to_string(memory) +
                            " MB of " + std::to_string(wanted.memory_mb) +
                            " and is killed by its machine; reads answered: " +
                            std::to_string(clients[index]->served));
                deployment.kill_over_limit(index);
                wait(std::chrono::milliseconds{100});
            }
        }
        if (record.now_ms() - noted_at > 2000) {
            noted_at = record.now_ms();
            record.note("memory in MB: " + std::to_string(deployment.memory_mb(0)) + ", " +
                        std::to_string(deployment.memory_mb(1)) +
                        "; reads answered: " + std::to_string(clients[0]->served) + ", " +
                        std::to_string(clients[1]->served));
        }
        if (!options.trouble && clients[0]->served >= ordinary_statements * 20 &&
            clients[1]->served >= ordinary_statements * 20) {
            break;
        }
    }
    for (std::size_t index = 0; index < daemons; ++index) {
        record.note("front-" + std::to_string(index) + ": most memory " +
                    std::to_string(most[index]) + " MB, ended " +
                    std::to_string(deployment.ends(index)) + " times, reads answered " +
                    std::to_string(clients[index]->served));
    }
    if (clients[0]->served == 0 || clients[1]->served == 0) {
        return exit_not_run;
    }
    if (broken()) {
        record.note("Fault: on two machines processes ended three times with no disturbance there");
        return exit_broken;
    }
    return exit_held;
}

} // namespace review
