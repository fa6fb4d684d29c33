// Clients that read large answers at the same time run the processes out of memory.
#include "client.h"
#include "fleet.h"

#include "settings_standin.h"

#include <algorithm>
#include <memory>

namespace review {
namespace {

constexpr std::size_t daemons = 2;
constexpr std::size_t readers_per_daemon = 16;

/// An answer has 45 MB in rows of legal size: a message is at most 1 MiB.
constexpr std::size_t rows = 50;
constexpr std::size_t row_bytes = 900'000;

constexpr std::size_t wanted_ends = 3;
constexpr std::chrono::milliseconds longest_run{85'000};
constexpr std::chrono::milliseconds calm_run{20'000};

/// Reads again and again, one answer after the other.
struct reader : QObject {
    reader(std::uint16_t port, record_file& record)
        : m_client{port, fleet::database}, m_record{record}
    {
    }

    void next()
    {
        if (!m_client.is_open()) {
            m_client.start([this](bool) { QTimer::singleShot(100, this, [this] { next(); }); });
            return;
        }
        const std::string id = client::next_id();
        m_client.send(id, "READ 1a4", [this, id](const outcome& result) {
            served += result.done && result.rows == rows ? 1 : 0;
            m_record.note("read " + id + ": " +
                          (result.done        ? std::to_string(result.rows) + " rows, DONE"
                           : result.is_broken ? "no complete answer"
                                              : result.error));
            QTimer::singleShot(10, this, [this] { next(); });
        });
    }

    std::size_t served{0};

private:
    client m_client;
    record_file& m_record;
};

} // namespace

int run_answers(const case_options& options)
{
    record_file record{options.record};
    fleet_options wanted;
    wanted.kind = gypsumstep::adapter::standins::bounded_route;
    wanted.timeout_ms = 5000;
    wanted.group.read_rows = rows;
    wanted.group.row_bytes = row_bytes;
    fleet deployment{options, wanted, record};
    if (!deployment.await_ready()) {
        return exit_not_run;
    }
    std::vector<std::unique_ptr<reader>> readers;
    for (std::size_t index = 0; index < daemons * (options.trouble ? readers_per_daemon : 1);
         ++index) {
        readers.push_back(
            std::make_unique<reader>(deployment.client_port(index % daemons), record));
        readers.back()->next();
    }
    const auto broken = [&] {
        return deployment.ends(0) >= wanted_ends && deployment.ends(1) >= wanted_ends;
    };
    const auto end = record.now_ms() + (options.trouble ? longest_run : calm_run).count();
    std::vector<std::uint64_t> most(daemons);
    while (record.now_ms() < end && !broken()) {
        wait(std::chrono::milliseconds{5});
        for (std::size_t index = 0; index < daemons; ++index) {
            const std::uint64_t memory = deployment.memory_mb(index);
            most[index] = std::max(most[index], memory);
            if (memory > wanted.memory_mb) {
                record.note("front-" + std::to_string(index) + " holds " + std::to_string(memory) +
                            " MB of " + std::to_string(wanted.memory_mb) +
                            " and is killed by its machine");
                deployment.kill_over_limit(index);
                wait(std::chrono::milliseconds{100});
            }
        }
    }
    std::size_t served = 0;
    for (const auto& each : readers) {
        served += each->served;
    }
    for (std::size_t index = 0; index < daemons; ++index) {
        record.note("front-" + std::to_string(index) + ": most memory " +
                    std::to_string(most[index]) + " MB, ended " +
                    std::to_string(deployment.ends(index)) + " times");
    }
    record.note("whole answers received: " + std::to_string(served));
    if (!options.trouble && served < 2 * daemons) {
        return exit_not_run;
    }
    if (broken()) {
        record.note("Fault: on two machines processes ended three times with no disturbance there");
        return exit_broken;
    }
    return exit_held;
}

} // namespace review
