// A promotion order that got no answer is carried out after the daemons have gone back to the old
// primary: acknowledged commits are lost although the service has a synchronous replica.
#include "client.h"
#include "fleet.h"

#include "settings_standin.h"

#include <cstdlib>
#include <memory>
#include <set>

namespace review {
namespace {

constexpr std::size_t clients_per_daemon = 64;

/// One in this many clients writes; the others read, as most users do.
constexpr std::size_t writer_divisor = 16;

/// Longest pause of a reader.
constexpr int longest_pause_ms = 300;

/// The pages allow 2 to 12 s.
constexpr std::chrono::milliseconds order_delay{4000};

/// How far the replicas are behind: 150 ms on average, as in the grown deployment.
constexpr std::chrono::milliseconds shortest_lag{50};
constexpr std::chrono::milliseconds longest_lag{250};

/// Time after a promotion, and when the last round begins.
constexpr std::chrono::milliseconds settle_time{3000};
constexpr std::chrono::milliseconds last_round_start{98'000};

/// Length of a run without the disruption.
constexpr std::chrono::milliseconds calm_run{30'000};

/// Longest time that the primary is dark, and how long after the order it is back.
constexpr std::chrono::milliseconds longest_dark{5000};
constexpr std::chrono::milliseconds back_after_order{300};

/// Reads or writes without a pause and keeps the ids of the writes that were acknowledged.
struct user : QObject {
    user(std::uint16_t port, bool writes, std::set<std::string>& acknowledged, record_file& record)
        : m_client{port, fleet::database}, m_writes{writes},
          m_acknowledged{acknowledged}, m_record{record}
    {
    }

    void next()
    {
        if (stopped) {
            return;
        }
        if (!m_client.is_open()) {
            m_client.start([this](bool) { QTimer::singleShot(20, this, [this] { next(); }); });
            return;
        }
        const std::string id = client::next_id();
        if (!m_writes) {
            m_client.send(id, "READ 1a4", [this, id](const outcome& result) {
                m_record.note("read " + id + ": " +
                              (result.done        ? "DONE"
                               : result.is_broken ? "no answer"
                                                  : result.error));
                QTimer::singleShot(std::rand() % longest_pause_ms, this, [this] { next(); });
            });
            return;
        }
        m_client.send(id, "WRITE 1a4 xkqpwnzd", [this, id](const outcome& result) {
            if (result.done) {
                m_acknowledged.insert(id);
            }
            m_record.note("write " + id + ": " +
                          (result.done        ? "DONE"
                           : result.is_broken ? "no answer"
                                              : result.error));
            QTimer::singleShot(result.done ? 1 : 20, this, [this] { next(); });
        });
    }

    bool stopped{false};

private:
    client m_client;
    bool m_writes;
    std::set<std::string>& m_acknowledged;
    record_file& m_record;
};

} // namespace

int run_late_order(const case_options& options)
{
    record_file record{options.record};
    std::size_t calls = 0;
    bool last_is_late = false;
    std::size_t promotions = 0;
    std::set<std::string> acknowledged;
    fleet_options wanted;
    wanted.kind = gypsumstep::adapter::standins::primary_route;
    wanted.group.sync_replicas = 1;
    wanted.group.min_lag = shortest_lag;
    wanted.group.max_lag = longest_lag;
    wanted.late_orders = [&]() -> std::optional<std::chrono::milliseconds> {
        // Half of the calls, every second one.
        last_is_late = options.trouble && calls++ % 2 == 0;
        return last_is_late ? std::optional{order_delay} : std::nullopt;
    };
    wanted.promoted = [&](const std::string&, const std::set<std::string>&) { ++promotions; };
    fleet deployment{options, wanted, record};
    if (!deployment.await_ready()) {
        return exit_not_run;
    }
    std::vector<std::unique_ptr<user>> users;
    for (std::size_t index = 0; index < 2 * clients_per_daemon; ++index) {
        users.push_back(std::make_unique<user>(deployment.client_port(index % 2),
                                               index / 2 % writer_divisor == 0, acknowledged,
                                               record));
        users.back()->next();
    }
    wait(std::chrono::seconds{3});
    record.note("acknowledged so far: " + std::to_string(acknowledged.size()));
    if (acknowledged.size() < 100) {
        return exit_not_run;
    }
    sim_group& group = deployment.group();
    std::size_t late_rounds = 0;
    std::size_t lost = 0;
    const auto end = options.trouble ? last_round_start : calm_run;
    while (record.now_ms() < end.count() && lost == 0) {
        const std::size_t calls_before = calls;
        const std::size_t promotions_before = promotions;
        const std::size_t primary = group.primary();
        if (options.trouble) {
            record.note(group.name_of(primary) + ", the primary, is dark");
            group.set_dark(primary, true);
            (void)wait_until([&] { return calls > calls_before; }, longest_dark - back_after_order);
            wait(back_after_order);
            group.set_dark(primary, false);
            record.note(group.name_of(primary) + " is back");
            late_rounds += last_is_late ? 1 : 0;
            (void)wait_until([&] { return promotions > promotions_before; },
                             order_delay + std::chrono::seconds{3});
        }
        wait(settle_time);
        const std::set<std::string> log = group.log_of(group.primary());
        for (const std::string& id : acknowledged) {
            if (!log.contains(id)) {
                ++lost;
                record.note("LOST: write " + id + " was acknowledged and isn't in the log of " +
                            group.name_of(group.primary()) + ", which was promoted");
            }
        }
    }
    for (const auto& each : users) {
        each->stopped = true;
    }
    record.note("late calls: " + std::to_string((calls + 1) / 2) + " of " + std::to_string(calls) +
                ", acknowledged writes: " + std::to_string(acknowledged.size()) +
                ", lost: " + std::to_string(lost));
    if (lost > 0) {
        return exit_broken;
    }
    return options.trouble && late_rounds == 0 ? exit_not_run : exit_held;
}

} // namespace review
